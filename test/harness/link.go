package harness

import (
	"fmt"
	"strings"
	"time"

	"github.com/Shopify/toxiproxy"
	"github.com/pkg/errors"
)

// Link is a TCP link to the store that can be cut without either side being
// told.
type Link struct {
	proxy *toxiproxy.Proxy
}

// toxics hold back all bytes of either direction; no connection is closed.
var toxics = map[string]string{
	"to":   `{"name":"to","type":"timeout","stream":"upstream","attributes":{"timeout":0}}`,
	"from": `{"name":"from","type":"timeout","stream":"downstream","attributes":{"timeout":0}}`,
}

// NewLink returns an open link to the fleet's store.
func (f *Fleet) NewLink(name string) (*Link, error) {
	return NewLinkTo(name, f.Store.Address("address").String())
}

// NewLinkTo returns an open link to an address.
func NewLinkTo(name, address string) (*Link, error) {
	proxy := toxiproxy.NewProxy()
	proxy.Name = name
	proxy.Listen = "127.0.0.1:0"
	proxy.Upstream = address
	return &Link{proxy: proxy}, errors.Wrap(proxy.Start(), "start proxy")
}

// URL is the store's address through the link.
func (l *Link) URL() string { return "http://" + l.Address() }

// Address is where the link listens.
func (l *Link) Address() string { return l.proxy.Listen }

// slowToxic is the name of the toxic of Slow.
const slowToxic = "slow"

// Slow delays all that comes back by about d; 0 ends that.
func (l *Link) Slow(d time.Duration) error {
	if d == 0 {
		return errors.Wrap(l.proxy.Toxics.RemoveToxic(slowToxic), "end delay")
	}
	toxic := fmt.Sprintf(`{"name":%q,"type":"latency","stream":"downstream","attributes":{"latency":%d,"jitter":%d}}`,
		slowToxic, d.Milliseconds(), d.Milliseconds()/4)
	_, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(toxic))
	return errors.Wrap(err, "delay link")
}

// Cut holds back all that is sent.
func (l *Link) Cut() error {
	for _, toxic := range toxics {
		if _, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(toxic)); err != nil {
			return errors.Wrap(err, "cut link")
		}
	}
	return nil
}

// Heal opens the link again.
func (l *Link) Heal() error {
	for name := range toxics {
		if err := l.proxy.Toxics.RemoveToxic(name); err != nil {
			return errors.Wrap(err, "heal link")
		}
	}
	return nil
}

// Close ends the link.
func (l *Link) Close() { l.proxy.Stop() }
