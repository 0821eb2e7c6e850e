// Package jsonhttp contains helpers for the JSON-over-HTTP APIs with which tests control the
// simulated components.
package jsonhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"
)

// Do sends in as JSON and decodes the JSON answer into out. Either may be nil.
func Do(ctx context.Context, method, url string, in, out any) error {
	var body bytes.Buffer
	if in != nil {
		if err := json.NewEncoder(&body).Encode(in); err != nil {
			return errors.Wrap(err, "encode request")
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, url, &body)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "send request")
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return errors.Errorf("%s %s: %s", method, url, resp.Status)
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(out), "decode answer")
}

// Reply sends out as the JSON answer.
func Reply(w http.ResponseWriter, out any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out) // an error means that the client has closed the connection
}

// Read decodes the request's JSON body into in. If that fails it answers with status 400 and
// returns false.
func Read(w http.ResponseWriter, r *http.Request, in any) bool {
	if err := json.NewDecoder(r.Body).Decode(in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
