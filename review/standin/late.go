package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// Times of the case, counted from the moment when the links of the backend are cut.
const (
	cutLasts    = 8 * time.Second
	firstStarts = 300 * time.Millisecond
	firstEnds   = 1300 * time.Millisecond
	nextStarts  = firstEnds + reuseAfter + 100*time.Millisecond
	loadEnds    = 22 * time.Second
)

// lateCheckin plays the case with the next lifetime of the same service.
func lateCheckin(f *fleet, rec *recorder, trouble bool) error {
	return lateCheckinBefore("alpha", f, rec, trouble)
}

// lateCheckinReuse plays it with the address going to another service.
func lateCheckinReuse(f *fleet, rec *recorder, trouble bool) error {
	return lateCheckinBefore("beta", f, rec, trouble)
}

// lateCheckinBefore cuts off the backend of a machine that is being added. The backend crashes
// behind the cut and starts again. The first check-in of the lifetime that crashed is held
// up by the cut and arrives once the next lifetime, of the given service, has registered.
func lateCheckinBefore(nextService string, f *fleet, rec *recorder, trouble bool) error {
	at := end{f.nextAddr(), 8443}
	other := end{at.addr, 8080}
	f.configure(4, []string{"alpha", "beta"}, route{at, "alpha", "unsafe"}, route{other, "beta", "unsafe"})
	var fronts, sides []*machine
	for i := range 3 {
		fronts = append(fronts, f.add(fmt.Sprintf("front-%d", i+1), "hall-a", ""))
	}
	for i := range 3 {
		sides = append(sides, f.add(fmt.Sprintf("side-%d", i+1), "hall-a", "alpha"))
	}
	added := sides[2]
	for _, m := range f.machines {
		if m == added {
			continue
		}
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, m := range sides[:2] {
		if _, err := startBackend(m, "alpha", m.at(f.ports.control), nil, rec); err != nil {
			return err
		}
	}
	router := newRouter(fronts)
	if err := until("all front nodes are ready", 15*time.Second, func() bool {
		return fronts[0].ready() && fronts[1].ready() && fronts[2].ready()
	}); err != nil {
		return err
	}
	time.Sleep(1500 * time.Millisecond)
	l, err := startLongFlows(f, router, rec, at, 24, 300*time.Millisecond)
	if err != nil {
		return err
	}
	fresh, err := startLoad(f, router, rec, "alpha", at, 8, 150*time.Millisecond)
	if err != nil {
		return err
	}
	time.Sleep(3 * time.Second)

	if err := added.start(); err != nil {
		return err
	}
	time.Sleep(time.Second)
	links := &cut{rec: rec}
	control, err := heldUp(added.ip.String(), added.at(f.ports.control), links)
	if err != nil {
		return err
	}
	began := time.Now()
	if trouble {
		links.begin(cutLasts)
		rec.note("the links of the backend on %s are cut for %s", added.name, cutLasts)
	}
	sleepUntil(began.Add(firstStarts))
	first, err := startBackend(added, "alpha", control, links, rec)
	if err != nil {
		return err
	}
	sleepUntil(began.Add(firstEnds))
	first.crash()
	sleepUntil(began.Add(nextStarts))
	next, err := startBackend(added, nextService, control, links, rec)
	if err != nil {
		return err
	}
	sleepUntil(began.Add(loadEnds))
	resets, all := l.end(), fresh.end()
	for _, r := range rec.allRuns() {
		if _, ok := all[r.attempt]; ok && r.backend.service != "alpha" {
			rec.fault("ROUTE: request %s of the route to alpha ran at %s of service %s", r.attempt, r.backend.id, r.backend.service)
		}
	}
	rec.note("%d flows opened at %s, %d requests ran there", rec.openedAt(next), next.id, next.ranSoFar())

	inTouch := began
	if trouble {
		inTouch = began.Add(cutLasts + contact)
	}
	for _, r := range resets {
		owner := rec.ownerOf(r.id)
		if owner == nil || owner == first || r.at.Before(inTouch) {
			continue
		}
		rec.fault("FLOW: client %s:%d gets a reset %.1f s after the cut ended, on a flow that is open at %s, which lives and sent none",
			r.id.client.addr, r.id.client.port, r.at.Sub(began.Add(cutLasts)).Seconds(), owner.id)
	}
	if nextService == "alpha" && rec.openedAt(next) == 0 {
		return fmt.Errorf("no flow opened at %s", next.id)
	}
	for _, m := range f.machines {
		if !m.running() {
			return fmt.Errorf("the process on %s has ended", m.name)
		}
		m.signal(syscall.SIGTERM)
	}
	return nil
}

func sleepUntil(t time.Time) { time.Sleep(time.Until(t)) }

// longFlows are clients that keep a flow open for many requests, with pauses between them.
type longFlows struct {
	stop   chan struct{}
	wg     sync.WaitGroup
	mu     sync.Mutex
	resets []resetOf
}

// resetOf is a reset that a client got on an open flow.
type resetOf struct {
	id flowID
	at time.Time
}

// A client sends from leastRequests to mostRequests requests on a flow before it opens another.
const leastRequests, mostRequests = 5, 30

// startLongFlows starts n clients on a route.
func startLongFlows(f *fleet, r *router, rec *recorder, at end, n int, pause time.Duration) (*longFlows, error) {
	l := &longFlows{stop: make(chan struct{})}
	for i := range n {
		c, err := newClient(f, r, rec)
		if err != nil {
			return nil, err
		}
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			time.Sleep(pause * time.Duration(i) / time.Duration(n))
			for flow := 1; ; flow++ {
				if !l.play(c, rec, at, fmt.Sprintf("long-%d-%d", i, flow), pause) {
					return
				}
			}
		}()
	}
	return l, nil
}

// play opens a flow and sends its requests. It returns false once the clients are stopped.
func (l *longFlows) play(c *client, rec *recorder, at end, name string, pause time.Duration) bool {
	f, ok := c.open(at)
	if !ok {
		rec.note("flow %s through %s: %s", name, f.firstNode, f.finalError)
	}
	requests := leastRequests + rand.IntN(mostRequests-leastRequests+1)
	for i := 1; ok && i <= requests; i++ {
		attempt := fmt.Sprintf("%s-%d", name, i)
		_, ok = f.request(attempt, requestBudget)
		if !ok {
			rec.note("request %s: %s", attempt, f.finalError)
			if f.finalError == "reset" {
				l.mu.Lock()
				l.resets = append(l.resets, resetOf{f.id, time.Now()})
				l.mu.Unlock()
			}
			break
		}
		select {
		case <-l.stop:
			f.close()
			return false
		case <-time.After(pause):
		}
	}
	if ok {
		f.close()
	}
	select {
	case <-l.stop:
		return false
	case <-time.After(pause):
		return true
	}
}

// end stops the clients and returns the resets that they got on open flows.
func (l *longFlows) end() []resetOf {
	close(l.stop)
	l.wg.Wait()
	return l.resets
}
