package caller

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/wait"
	"github.com/saltbend/saltbend/test/upstream"
)

// eventIDPrefix is the start of the line with an event's id.
const eventIDPrefix = "id: "

// Feed keeps a feed open until ctx is cancelled, and calls opened, if not nil, at the first
// event. It returns an error if the feed ends otherwise, or if events are missing or
// repeated.
func (c *Caller) Feed(ctx context.Context, opened func()) error {
	id := c.newID()
	err := c.feed(ctx, id, opened)
	if ctx.Err() != nil && !errors.Is(err, errGap) {
		err = nil // the caller closed it
	}
	c.o.Tally.endFeed(id, err)
	return err
}

var errGap = errors.New("events are missing or repeated")

func (c *Caller) feed(ctx context.Context, id string, opened func()) error {
	for {
		resp, err := c.openFeed(ctx, id)
		if err != nil {
			return err
		}
		if resp.StatusCode == http.StatusOK {
			defer resp.Body.Close()
			return c.readFeed(bufio.NewScanner(resp.Body), id, opened)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusTooManyRequests {
			return errors.Errorf("feed: status %d", resp.StatusCode)
		}
		c.o.Tally.refuse(KindFeed, id)
		if wait.For(ctx, retryAfter(resp.Header)) != nil {
			return errors.New("feed: refused until the context was cancelled")
		}
	}
}

func (c *Caller) openFeed(ctx context.Context, id string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+c.o.Face.String()+upstream.PathFeed, nil)
	if err != nil {
		return nil, errors.Wrap(err, "build feed request")
	}
	req.Header.Set(upstream.HeaderRequestID, id)
	req.Header.Set(upstream.HeaderWanted, c.o.Service)
	req.Header.Set("Accept", "text/event-stream")
	resp, err := c.transport.RoundTrip(req)
	return resp, errors.Wrap(err, "open feed")
}

func (c *Caller) readFeed(lines *bufio.Scanner, feed string, opened func()) error {
	last := uint64(0)
	at := time.Now()
	for lines.Scan() {
		text, ok := strings.CutPrefix(lines.Text(), eventIDPrefix)
		if !ok {
			continue
		}
		event, err := strconv.ParseUint(text, 10, 64)
		if err != nil || event != last+1 {
			return errors.Wrapf(errGap, "event %q after %d", text, last)
		}
		if last == 0 {
			c.o.Tally.openFeed()
			if opened != nil {
				opened()
			}
		}
		now := time.Now()
		c.o.Tally.event(feed, event, now.Sub(at))
		last, at = event, now
	}
	if lines.Err() != nil {
		return errors.Wrapf(lines.Err(), "feed ended after event %d", last)
	}
	return errors.Errorf("feed ended after event %d", last)
}
