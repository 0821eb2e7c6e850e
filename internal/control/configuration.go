package control

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/klauspost/compress/zstd"

	"github.com/saltbend/saltbend/internal/adopt"
	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/event"
	"github.com/saltbend/saltbend/internal/gossip"
	"github.com/saltbend/saltbend/internal/store"
)

// Events of the configuration.
const (
	EventAdopted event.Kind = "Configuration adopted."
	EventServing event.Kind = "Configuration in force."
	EventRefused event.Kind = "Configuration refused."
)

// ConfigKey is the store's key of the configuration record.
const ConfigKey = "saltbend/config"

// record is the adopted configuration as it travels.
type record struct {
	revision   uint64
	compressed []byte
	config     *config.Config
}

// FetchArgs ask for a configuration newer than Have.
type FetchArgs struct {
	Have uint64
}

// FetchReply carries the whole record, compressed with zstd; nothing when the
// asked process has no newer one.
type FetchReply struct {
	Revision uint64
	Record   []byte
}

var (
	encoder, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	decoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(4*store.MaxValueBytes))
)

// Fetch answers with the configuration record.
func (s *Service) Fetch(a FetchArgs, reply *FetchReply) error {
	return answer(s, reply, func(time.Time) FetchReply {
		if r := s.node.record; r.revision > a.Have {
			return FetchReply{Revision: r.revision, Record: r.compressed}
		}
		return FetchReply{}
	})
}

// claim is what the process says of its configuration.
func (n *Node) claim(now time.Time) gossip.Claim {
	return gossip.Claim{
		Revision: n.adopt.Revision(),
		Serving:  n.serving != nil,
		Reading:  n.adopt.Reading(now),
	}
}

// heard notes the claim in an answer to a call of our own.
func (n *Node) heard(now time.Time, from netip.AddrPort, c gossip.Claim, trip time.Duration) {
	a := adopt.Answer{Peer: from, Revision: c.Revision, Serving: c.Serving}
	if c.Reading != nil {
		a.Reading = &adopt.Reading{Revision: c.Reading.Revision, Age: c.Reading.Age + trip}
	}
	n.adopt.Heard(a, now)
}

// heardFrom notes the claim in a call of another process. Its reading of the
// store is left out: how long the call was under way is not known.
func (n *Node) heardFrom(now time.Time, from netip.AddrPort, c gossip.Claim) {
	n.adopt.Heard(adopt.Answer{Peer: from, Revision: c.Revision, Serving: c.Serving}, now)
}

// decideConfig fetches and serves what the adoption rule says.
func (n *Node) decideConfig(now time.Time) {
	n.adopt.Expect(n.otherBalancers())
	d := n.adopt.Decide(now)
	if d.Fetch > 0 && !n.fetching {
		n.fetching = true
		go n.fetch(d.From)
	}
	if d.Serve && n.serving != n.record.config {
		n.serving, n.dirty = n.record.config, true
		n.engine.SetRevision(n.record.revision)
		n.event(EventServing, fmt.Sprintf("revision %d: %s", n.record.revision, d.Reason))
	}
}

func (n *Node) otherBalancers() int {
	count := 0
	for _, b := range n.engine.Table().Balancers() {
		if b.Control != n.options.Self.Control {
			count++
		}
	}
	return count
}

// fetch gets the configuration from a peer.
func (n *Node) fetch(from netip.AddrPort) {
	var reply FetchReply
	_, err := n.call(from, "Fetch", FetchArgs{Have: n.revision()}, &reply)
	var text []byte
	if err == nil && reply.Revision > 0 {
		text, err = decoder.DecodeAll(reply.Record, nil)
	}
	n.post(func(now time.Time) {
		n.fetching = false
		if err != nil || reply.Revision == 0 {
			n.adopt.Gone(from) // until it answers again
			return
		}
		n.take(text, reply.Revision)
	})
}

// revision returns the adopted revision from any goroutine.
func (n *Node) revision() (revision uint64) {
	n.ask(n.ctx, func(time.Time) { revision = n.adopt.Revision() })
	return revision
}

// take parses a record and adopts it if it is newer.
func (n *Node) take(text []byte, revision uint64) {
	if revision <= n.adopt.Revision() {
		return
	}
	c, err := n.options.Decode(text, revision)
	if err != nil {
		n.event(EventRefused, fmt.Sprintf("revision %d: %v", revision, err))
		return
	}
	if !n.adopt.Adopt(revision) {
		return
	}
	n.record = record{revision: revision, config: c, compressed: encoder.EncodeAll(text, nil)}
	n.event(EventAdopted, fmt.Sprintf("revision %d", revision))
}

// startStore watches the configuration in the store.
func (n *Node) startStore(ctx context.Context) {
	if n.options.Store != nil {
		go n.watch(ctx)
	}
}

// watch reads the configuration key until ctx ends.
func (n *Node) watch(ctx context.Context) {
	const pause = time.Second
	var after uint64
	for ctx.Err() == nil {
		sent := n.options.Now()
		entry, err := n.options.Store.Watch(ctx, ConfigKey, after)
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(pause):
			}
			continue
		}
		after = entry.Revision
		n.post(func(now time.Time) {
			n.take(entry.Value, entry.Revision)
			n.adopt.Read(adopt.Reading{Revision: entry.Revision, Age: now.Sub(sent)}, now)
		})
	}
}
