// Package peercall asks a process of the packet face over HTTP for a value in JSON.
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

// Errors of a call that the other has not taken.
var (
	// ErrRefused says that it does not know yet what is asked for.
	ErrRefused = errors.New("peercall: refused")
	// ErrUnknownCall says that it knows no such call, as one of an earlier version.
	ErrUnknownCall = errors.New("peercall: unknown call")
)

// Get asks the process at a control address and decodes its answer, of at most some
// bytes, into a value.
func Get(ctx context.Context, client *http.Client, control netip.AddrPort, path string, maxBytes int64, value any) error {
	return call(ctx, client, http.MethodGet, control, path, nil, maxBytes, value)
}

// Post sends a value to the process at a control address and decodes its answer like Get.
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
		return errors.Wrap(err, "peercall: ask")
	}
	res, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "peercall: ask")
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusNotFound {
		return ErrUnknownCall
	}
	if res.StatusCode != http.StatusOK {
		return errors.Wrapf(ErrRefused, "the other answers %s", res.Status)
	}
	err = json.NewDecoder(http.MaxBytesReader(nil, res.Body, maxBytes)).Decode(value)
	return errors.Wrap(err, "peercall: read the answer")
}
