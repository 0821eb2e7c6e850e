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

// clientConn is one connection of the pool. It is added to the pool before it is dialled.
type clientConn struct {
	addr netip.AddrPort
	// ready is closed when dialling has succeeded or failed. The fields down to dialErr
	// don't change after that.
	ready   chan struct{}
	tls     *tls.Conn
	rpc     *rpc.Client
	peerKey string
	dialErr error

	outbox  *outbox
	pending chan struct{}
	lastUse atomic.Int64 // nanoseconds since the Unix epoch
	// retired is set when no more calls can be sent on this connection. Pending calls
	// complete; the connection is closed after the last of them.
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
		return c.peerKey
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

// alive reports whether calls can still be sent on the connection.
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

// writer writes queued requests until the connection ends. bound limits the time of one
// write.
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
		retry, err := p.callOnce(ctx, addr, method, args, reply)
		if !retry {
			p.traffic.countCall(method, err)
			return err
		}
	}
}

// callOnce makes one attempt. retry is true only if the connection came from the pool and
// turned out to be closed before the call was sent.
func (p *Peer) callOnce(ctx context.Context, addr netip.AddrPort, method string, args, reply any) (retry bool, _ error) {
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
	// The reply is decoded into a separate value: once ctx has ended, Call returns and the
	// value passed as reply may be reused, while net/rpc may still decode the reply.
	result := reflect.New(reflect.TypeOf(reply).Elem())
	call := c.rpc.Go(method, out, result.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		c.releaseSlot()
	case <-ctx.Done():
		go func() {
			<-call.Done
			c.releaseSlot()
		}()
		return false, &CallError{Outcome: ErrInterrupted, Addr: addr, Method: method, Cause: ctx.Err()}
	}
	if call.Error == nil {
		reflect.ValueOf(reply).Elem().Set(result.Elem())
		return false, nil
	}
	retry, err = classifyError(call, out, addr)
	if errors.Is(err, ErrInterrupted) {
		c.close()
	}
	return retry && !fresh, err
}

// classifyError returns the error of a failed call, and whether another attempt may
// succeed.
func classifyError(call *rpc.Call, out *outgoing, addr netip.AddrPort) (retry bool, _ error) {
	result := &CallError{Outcome: ErrUnreachable, Addr: addr, Method: call.ServiceMethod, Cause: call.Error}
	var remote rpc.ServerError
	switch {
	case errors.As(call.Error, &remote) && isMethodNotFound(remote):
		return false, result
	case errors.As(call.Error, &remote):
		return false, remote
	case !out.sent.Load():
		return errors.Is(call.Error, rpc.ErrShutdown), result
	}
	result.Outcome = ErrInterrupted
	return false, result
}

// releaseSlot frees the pending slot of a call that has ended, and closes a retired
// connection that has no other pending calls.
func (c *clientConn) releaseSlot() {
	c.touch()
	<-c.pending
	if c.retired.Load() && len(c.pending) == 0 {
		c.close()
	}
}
