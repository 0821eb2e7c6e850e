// Package peercall sends requests over HTTP to other processes of the packet face, at
// their control addresses. Requests and answers are JSON.
package peercall

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"

	"github.com/pkg/errors"
)

// Errors of a call that the other process has answered but not carried out.
var (
	// ErrRefused is returned for any status other than 200 and 404, such as that of a
	// process that does not have the requested data yet.
	ErrRefused = errors.New("peercall: request refused")
	// ErrUnknownCall is returned for status 404: the process does not have the path, for
	// example because it is of an earlier version.
	ErrUnknownCall = errors.New("peercall: unknown call")
)

// Get requests a path from the process at a control address and decodes the answer, of at
// most maxBytes, into value.
func Get(ctx context.Context, client *http.Client, control netip.AddrPort, path string, maxBytes int64, value any) error {
	return call(ctx, client, http.MethodGet, control, path, nil, maxBytes, value)
}

// Post sends a value to the process at a control address and decodes the answer like Get.
func Post(ctx context.Context, client *http.Client, control netip.AddrPort, path string, sent any, maxBytes int64, value any) error {
	body, err := json.Marshal(sent)
	if err != nil {
		return errors.Wrap(err, "peercall: encode")
	}
	return call(ctx, client, http.MethodPost, control, path, bytes.NewReader(body), maxBytes, value)
}

func call(ctx context.Context, client *http.Client, method string, control netip.AddrPort, path string, body io.Reader, maxBytes int64, value any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+control.String()+path, body)
	if err != nil {
		return errors.Wrap(err, "peercall: send the request")
	}
	res, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "peercall: send the request")
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusNotFound {
		return ErrUnknownCall
	}
	if res.StatusCode != http.StatusOK {
		return errors.Wrapf(ErrRefused, "peer answered %s", res.Status)
	}
	err = json.NewDecoder(http.MaxBytesReader(nil, res.Body, maxBytes)).Decode(value)
	return errors.Wrap(err, "peercall: read the answer")
}
