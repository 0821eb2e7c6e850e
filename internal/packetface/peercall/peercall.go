// Package peercall asks a process of the packet face over HTTP for a value in JSON.
package peercall

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"

	"github.com/pkg/errors"
)

// Get asks the process at a control address and decodes its answer, of at most some
// bytes, into a value.
func Get(ctx context.Context, client *http.Client, control netip.AddrPort, path string, maxBytes int64, value any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+control.String()+path, nil)
	if err != nil {
		return errors.Wrap(err, "peercall: ask")
	}
	res, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "peercall: ask")
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("peercall: the other answers %s", res.Status)
	}
	err = json.NewDecoder(http.MaxBytesReader(nil, res.Body, maxBytes)).Decode(value)
	return errors.Wrap(err, "peercall: read the answer")
}
