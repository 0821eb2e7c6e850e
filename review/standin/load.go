package main

import (
	"fmt"
	"sync"
	"time"
)

// attempt is one request of a client on a flow of its own.
type attempt struct {
	id     string
	route  end
	sentAt time.Time // when the opening packet was first sent
	node   string
	signer string // the backend that signed the answer; empty if there was none
	failed string
}

// load are clients that send requests, each on a flow of its own, at a steady rate.
type load struct {
	rec  *recorder
	stop chan struct{}
	wg   sync.WaitGroup
	mu   sync.Mutex
	all  []attempt
}

// startLoad starts n clients on a route, each with a request every interval.
func startLoad(f *fleet, r *router, rec *recorder, name string, at end, n int, interval time.Duration) (*load, error) {
	l := &load{rec: rec, stop: make(chan struct{})}
	for i := range n {
		c, err := newClient(f, r, rec)
		if err != nil {
			return nil, err
		}
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			time.Sleep(interval * time.Duration(i) / time.Duration(n))
			for seq := 1; ; seq++ {
				select {
				case <-l.stop:
					return
				case <-time.After(interval):
				}
				l.wg.Add(1)
				go func() {
					defer l.wg.Done()
					l.send(c, at, fmt.Sprintf("%s-%d-%d", name, i, seq))
				}()
			}
		}()
	}
	return l, nil
}

// requestBudget is the time budget of a client for one request.
const requestBudget = 4 * time.Second

func (l *load) send(c *client, at end, id string) {
	f, ok := c.open(at)
	a := attempt{id: id, route: at, sentAt: f.sentAt, node: f.firstNode}
	if ok {
		a.signer, ok = f.request(id, requestBudget)
		f.close()
	}
	if !ok {
		a.failed = f.finalError
	}
	outcome := "200, signed " + a.signer
	if a.failed != "" {
		outcome = a.failed
	}
	l.rec.note("request %s on %s:%d through %s: %s", id, at.addr, at.port, a.node, outcome)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, a)
}

// end stops the clients and returns their requests by id.
func (l *load) end() map[string]attempt {
	close(l.stop)
	l.wg.Wait()
	out := map[string]attempt{}
	for _, a := range l.all {
		out[a.id] = a
	}
	return out
}

// served counts the requests that were answered.
func served(all map[string]attempt) (n int) {
	for _, a := range all {
		if a.failed == "" {
			n++
		}
	}
	return n
}
