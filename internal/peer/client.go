package peer

import (
	"context"
	"crypto/tls"
	"net/netip"
	"net/rpc"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// clientConn is one connection of the pool, from the dialling on.
type clientConn struct {
	addr netip.AddrPort
	// ready is closed when the dialling ended; the fields below it, down to
	// err, are then fixed.
	ready   chan struct{}
	tls     *tls.Conn
	rpc     *rpc.Client
	proved  string
	dialErr error

	outbox  *outbox
	pending chan struct{}
	lastUse atomic.Int64 // nanoseconds since the Unix epoch
	// retired is set when no more calls can be sent; those that are pending
	// go on, and the connection closes with the last of them.
	retired atomic.Bool
	ended   chan struct{}
	once    sync.Once
}

func newClientConn(addr netip.AddrPort, pending int) *clientConn {
	c := &clientConn{
		addr:    addr,
		ready:   make(chan struct{}),
		outbox:  newOutbox(),
		pending: make(chan struct{}, pending),
		ended:   make(chan struct{}),
	}
	c.touch()
	return c
}

func (c *clientConn) touch() { c.lastUse.Store(time.Now().UnixNano()) }

// key implements connection.
func (c *clientConn) key() string {
	select {
	case <-c.ready:
		return c.proved
	default:
		return ""
	}
}

// close implements connection. Pending calls return ErrInterrupted.
func (c *clientConn) close() {
	c.once.Do(func() {
		close(c.ended)
		go func() {
			<-c.ready
			if c.tls != nil {
				c.tls.Close()
			}
		}()
	})
}

// alive reports whether calls can be sent.
func (c *clientConn) alive() bool {
	if c.retired.Load() {
		return false
	}
	select {
	case <-c.ended:
		return false
	default:
		return true
	}
}

// writer writes the queued requests until the connection ends.
func (c *clientConn) writer(bound time.Duration) {
	for {
		select {
		case <-c.ended:
			return
		case <-c.outbox.filled:
			_ = c.tls.SetWriteDeadline(time.Now().Add(bound))
			if _, err := c.tls.Write(c.outbox.take()); err != nil {
				c.close()
				return
			}
		}
	}
}

// Call implements Caller.
func (p *Peer) Call(ctx context.Context, addr netip.AddrPort, method string, args, reply any) error {
	for {
		again, err := p.callOnce(ctx, addr, method, args, reply)
		if !again {
			p.traffic.called(method, err)
			return err
		}
	}
}

// callOnce makes one attempt. It asks for another only when the connection
// from the pool turned out to be dead before the call left.
func (p *Peer) callOnce(ctx context.Context, addr netip.AddrPort, method string, args, reply any) (again bool, _ error) {
	unreachable := func(cause error) error {
		return &CallError{Outcome: ErrUnreachable, Addr: addr, Method: method, Cause: cause}
	}
	c, fresh, err := p.connect(ctx, addr)
	if err != nil {
		return false, unreachable(err)
	}
	select {
	case c.pending <- struct{}{}:
	case <-ctx.Done():
		return false, unreachable(ctx.Err())
	case <-c.ended:
		return !fresh, unreachable(errors.New("connection ended"))
	}
	c.touch()
	out := &outgoing{args: args}
	// An own value is filled: after ctx has ended the caller's may be reused.
	result := reflect.New(reflect.TypeOf(reply).Elem())
	call := c.rpc.Go(method, out, result.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		c.finish()
	case <-ctx.Done():
		go func() {
			<-call.Done
			c.finish()
		}()
		return false, &CallError{Outcome: ErrInterrupted, Addr: addr, Method: method, Cause: ctx.Err()}
	}
	if call.Error == nil {
		reflect.ValueOf(reply).Elem().Set(result.Elem())
		return false, nil
	}
	again, err = failed(call, out, addr)
	if errors.Is(err, ErrInterrupted) {
		c.close()
	}
	return again && !fresh, err
}

// failed returns the error of a call that ended with one, and whether another
// attempt may fare better.
func failed(call *rpc.Call, out *outgoing, addr netip.AddrPort) (again bool, _ error) {
	result := &CallError{Outcome: ErrUnreachable, Addr: addr, Method: call.ServiceMethod, Cause: call.Error}
	var remote rpc.ServerError
	switch {
	case errors.As(call.Error, &remote) && isNotServed(remote):
		return false, result
	case errors.As(call.Error, &remote):
		return false, remote
	case !out.left.Load():
		return errors.Is(call.Error, rpc.ErrShutdown), result
	}
	result.Outcome = ErrInterrupted
	return false, result
}

// finish gives back the place of a call that has ended.
func (c *clientConn) finish() {
	c.touch()
	<-c.pending
	if c.retired.Load() && len(c.pending) == 0 {
		c.close()
	}
}
