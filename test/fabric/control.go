package fabric

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/saltbend/saltbend/test/jsonhttp"
)

// Handler returns the HTTP API that controls the fabric; Client is its client.
func (f *Fabric) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faces", func(w http.ResponseWriter, _ *http.Request) {
		public, err := f.OpenFace()
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		jsonhttp.Reply(w, public)
	})
	mux.HandleFunc("PUT /balancers/{name}", func(w http.ResponseWriter, r *http.Request) {
		var faces map[netip.AddrPort]netip.AddrPort
		if jsonhttp.Read(w, r, &faces) {
			f.SetBalancer(r.PathValue("name"), faces)
		}
	})
	mux.HandleFunc("DELETE /balancers/{name}", func(_ http.ResponseWriter, r *http.Request) {
		f.RemoveBalancer(r.PathValue("name"))
	})
	mux.HandleFunc("PUT /faults/{name}", func(w http.ResponseWriter, r *http.Request) {
		var faults Faults
		if jsonhttp.Read(w, r, &faults) {
			f.SetFaults(r.PathValue("name"), faults)
		}
	})
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Reply(w, f.Counts())
	})
	return mux
}

// Client controls a fabric that runs as another process, through the API at URL.
type Client struct {
	URL string
}

// OpenFace opens a public face.
func (c Client) OpenFace(ctx context.Context) (netip.AddrPort, error) {
	var public netip.AddrPort
	err := jsonhttp.Do(ctx, http.MethodPost, c.URL+"/faces", nil, &public)
	return public, err
}

// SetBalancer adds a balancer to those that receive callers' datagrams.
func (c Client) SetBalancer(ctx context.Context, name string, faces map[netip.AddrPort]netip.AddrPort) error {
	return jsonhttp.Do(ctx, http.MethodPut, c.URL+"/balancers/"+name, faces, nil)
}

// RemoveBalancer removes a balancer from those that receive callers' datagrams.
func (c Client) RemoveBalancer(ctx context.Context, name string) error {
	return jsonhttp.Do(ctx, http.MethodDelete, c.URL+"/balancers/"+name, nil, nil)
}

// SetFaults replaces a balancer's faults.
func (c Client) SetFaults(ctx context.Context, name string, faults Faults) error {
	return jsonhttp.Do(ctx, http.MethodPut, c.URL+"/faults/"+name, faults, nil)
}

// Counts returns the fabric's counts of datagrams.
func (c Client) Counts(ctx context.Context) (Counts, error) {
	var counts Counts
	err := jsonhttp.Do(ctx, http.MethodGet, c.URL+"/counts", nil, &counts)
	return counts, err
}
