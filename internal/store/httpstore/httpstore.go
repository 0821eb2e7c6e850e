// Package httpstore is a client of the platform's key-value service over HTTP. Revisions are
// sent as ETags, compare-and-swap uses If-Match, and watches use long polling.
package httpstore

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/store"
)

// Options configures a client. Zero values are replaced by defaults.
type Options struct {
	// Timeout is the timeout of one call. PollWait is added to it for a watch.
	Timeout time.Duration
	// PollWait is how long the service waits for a change before it answers a long poll.
	PollWait time.Duration
	// Metrics is the set that the counters of calls are added to; nil means the default set.
	Metrics *metrics.Set
}

// Default values of Options.
const (
	DefaultTimeout  = 5 * time.Second
	DefaultPollWait = 30 * time.Second
)

// Limits of the client's connections and of the size of a list.
const (
	maxIdlePerHost = 4
	idleTimeout    = 90 * time.Second
	maxListBytes   = 16 << 20
)

// Client implements store.Store for a service that has one or more base URLs. It is safe for
// concurrent use.
type Client struct {
	bases   []*url.URL
	options Options
	http    *http.Client
	// lastGood is the index of the base URL that last responded.
	lastGood atomic.Uint32
}

var _ store.Store = (*Client)(nil)

// New returns a client of the service at the given base URLs.
func New(bases []string, options Options) (*Client, error) {
	if len(bases) == 0 {
		return nil, errors.New("no base URL for the store was given")
	}
	c := &Client{options: options.withDefaults()}
	for _, base := range bases {
		u, err := url.Parse(base)
		if err != nil || u.Host == "" {
			return nil, errors.New("a base URL for the store is not an http or https URL")
		}
		c.bases = append(c.bases, u)
	}
	c.http = &http.Client{Transport: &http.Transport{
		Proxy:               http.ProxyFromEnvironment,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
	}}
	return c, nil
}

func (o Options) withDefaults() Options {
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	if o.PollWait <= 0 {
		o.PollWait = DefaultPollWait
	}
	if o.Metrics == nil {
		o.Metrics = metrics.GetDefaultSet()
	}
	return o
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	a, err := c.do(ctx, call{name: callGet, method: http.MethodGet, key: key})
	if err != nil {
		return store.Entry{}, err
	}
	return a.entry(key)
}

// item is the JSON form of an entry in a list.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]store.Entry, error) {
	query := url.Values{"prefix": {prefix}}
	a, err := c.do(ctx, call{name: callList, method: http.MethodGet, query: query, limit: maxListBytes})
	if err != nil {
		return nil, err
	}
	var items []item
	if err := json.Unmarshal(a.body, &items); err != nil {
		return nil, errors.Wrap(store.ErrUnavailable, "the store's list response is not valid JSON")
	}
	entries := make([]store.Entry, 0, len(items))
	for _, it := range items {
		entries = append(entries, store.Entry{Key: it.Key, Value: it.Value, Revision: it.Revision})
	}
	return entries, nil
}

// Swap implements store.Store.
func (c *Client) Swap(ctx context.Context, key string, value []byte, expected uint64, lease time.Duration) (store.Entry, error) {
	if len(value) > store.MaxValueBytes {
		return store.Entry{}, store.ErrTooLarge
	}
	header := conditionHeader(expected)
	if lease > 0 {
		header.Set("Lease-Seconds", strconv.FormatFloat(lease.Seconds(), 'f', -1, 64))
	}
	a, err := c.do(ctx, call{name: callSwap, method: http.MethodPut, key: key, header: header, body: value, writes: true})
	if err != nil {
		return store.Entry{}, err
	}
	revision, err := a.revision()
	if err != nil {
		return store.Entry{}, errors.Wrap(store.ErrOutcomeUnknown, err.Error())
	}
	return store.Entry{Key: key, Value: value, Revision: revision}, nil
}

// Delete implements store.Store.
func (c *Client) Delete(ctx context.Context, key string, expected uint64) error {
	_, err := c.do(ctx, call{name: callDelete, method: http.MethodDelete, key: key, header: conditionHeader(expected), writes: true})
	return err
}

// Watch implements store.Store. It polls until the key has changed.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (store.Entry, error) {
	query := url.Values{
		"after": {strconv.FormatUint(after, 10)},
		"wait":  {c.options.PollWait.String()},
	}
	poll := call{name: callWatch, method: http.MethodGet, key: key, query: query, extra: c.options.PollWait}
	for {
		a, err := c.do(ctx, poll)
		if err != nil {
			return store.Entry{}, err
		}
		if a.status != http.StatusNotModified {
			return a.entry(key)
		}
	}
}

// conditionHeader returns the header that makes a write conditional on the expected
// revision.
func conditionHeader(expected uint64) http.Header {
	if expected == store.Create {
		return http.Header{"If-None-Match": {"*"}}
	}
	return http.Header{"If-Match": {`"` + strconv.FormatUint(expected, 10) + `"`}}
}

// response is a response with its complete body.
type response struct {
	status int
	etag   string
	body   []byte
}

func (a *response) revision() (uint64, error) {
	revision, err := strconv.ParseUint(strings.Trim(a.etag, `"`), 10, 64)
	if err != nil {
		return 0, errors.New("the store's response has no ETag with a revision")
	}
	return revision, nil
}

func (a *response) entry(key string) (store.Entry, error) {
	revision, err := a.revision()
	if err != nil {
		return store.Entry{}, errors.Wrap(store.ErrUnavailable, err.Error())
	}
	return store.Entry{Key: key, Value: a.body, Revision: revision}, nil
}
