package registry

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
)

// document is a value in compressed JSON, encoded once for all that ask for it: after a
// common start hundreds of balancers ask the same few for everything, over links of 20
// Mbit/s. The zero value is not encoded yet.
type document struct {
	once sync.Once
	text []byte
	err  error
}

// write answers a request with the value, which is asked for once.
func (d *document) write(w http.ResponseWriter, r *http.Request, value func() any) {
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		writeUncompressed(w, value())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	d.once.Do(func() { d.text, d.err = compress(value()) })
	if d.err != nil {
		http.Error(w, d.err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	_, _ = w.Write(d.text) // as above
}

// writeUncompressed answers a request with a value that is for one alone: to compress it takes
// more time than to send it.
func writeUncompressed(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // an error means that the other has gone
}

// compress returns a value in compressed JSON.
func compress(value any) ([]byte, error) {
	var text bytes.Buffer
	zip, err := gzip.NewWriterLevel(&text, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := json.NewEncoder(zip).Encode(value); err != nil {
		return nil, err
	}
	if err := zip.Close(); err != nil {
		return nil, err
	}
	return text.Bytes(), nil
}
