package registry

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
)

// document is a value that is encoded to compressed JSON once, for all requests. After a
// simultaneous start hundreds of balancers request the full listing from the same few
// balancers, over links of 20 Mbit/s. The zero value has not been encoded yet.
type document struct {
	once sync.Once
	text []byte
	err  error
}

// write answers a request with the document. It calls value once for all compressed
// answers, and once for each request whose client does not accept gzip.
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
	_, _ = w.Write(d.text) // an error means that the client has disconnected
}

// writeUncompressed answers a request with a value that serves one client only:
// compressing it would take more time than it saves in sending.
func writeUncompressed(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // an error means that the client has disconnected
}

// compress returns a value as compressed JSON.
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
