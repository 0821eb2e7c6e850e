package harness

import (
	"fmt"
	"strings"
	"time"

	"github.com/Shopify/toxiproxy"
	"github.com/pkg/errors"
)

// Link is a TCP proxy, usually in front of the store, that can stop forwarding without
// closing connections, so that neither side notices.
type Link struct {
	proxy *toxiproxy.Proxy
}

// toxics are the toxiproxy settings that withhold all bytes in both directions without
// closing a connection.
var toxics = map[string]string{
	"to":   `{"name":"to","type":"timeout","stream":"upstream","attributes":{"timeout":0}}`,
	"from": `{"name":"from","type":"timeout","stream":"downstream","attributes":{"timeout":0}}`,
}

// NewLink returns a link that forwards to the fleet's store.
func (f *Fleet) NewLink(name string) (*Link, error) {
	return NewLinkTo(name, f.Store.Address("address").String())
}

// NewLinkTo returns a link that forwards to an address.
func NewLinkTo(name, address string) (*Link, error) {
	proxy := toxiproxy.NewProxy()
	proxy.Name = name
	proxy.Listen = "127.0.0.1:0"
	proxy.Upstream = address
	return &Link{proxy: proxy}, errors.Wrap(proxy.Start(), "start proxy")
}

// URL returns the base URL at which the target is reached through the link.
func (l *Link) URL() string { return "http://" + l.Address() }

// Address returns the address that the link listens on.
func (l *Link) Address() string { return l.proxy.Listen }

// slowToxic names the toxic that Slow adds.
const slowToxic = "slow"

// Slow delays all bytes from the target by about d; 0 removes the delay.
func (l *Link) Slow(d time.Duration) error {
	if d == 0 {
		return errors.Wrap(l.proxy.Toxics.RemoveToxic(slowToxic), "remove delay")
	}
	toxic := fmt.Sprintf(`{"name":%q,"type":"latency","stream":"downstream","attributes":{"latency":%d,"jitter":%d}}`,
		slowToxic, d.Milliseconds(), d.Milliseconds()/4)
	_, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(toxic))
	return errors.Wrap(err, "delay link")
}

// Cut withholds all bytes in both directions and leaves connections open.
func (l *Link) Cut() error {
	for _, toxic := range toxics {
		if _, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(toxic)); err != nil {
			return errors.Wrap(err, "cut link")
		}
	}
	return nil
}

// Heal ends the cut; the link forwards again.
func (l *Link) Heal() error {
	for name := range toxics {
		if err := l.proxy.Toxics.RemoveToxic(name); err != nil {
			return errors.Wrap(err, "heal link")
		}
	}
	return nil
}

// Close stops the proxy.
func (l *Link) Close() { l.proxy.Stop() }
