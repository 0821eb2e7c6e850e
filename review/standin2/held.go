package main

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"
)

// holdUntil returns a dial function for a lifetime behind a cut. What is sent on the first
// channel arrives when held is closed, whatever has become of its sender by then; further
// channels don't open.
func holdUntil(held <-chan struct{}) func(ctx context.Context, network, addr string) (net.Conn, error) {
	var dialed atomic.Int64
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if dialed.Add(1) > 1 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		sender, path := net.Pipe()
		sent := make(chan []byte, 1)
		go func() {
			// The sender writes its one check-in and hears nothing.
			var all []byte
			buf := make([]byte, 64<<10)
			_ = path.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
			for {
				n, err := path.Read(buf)
				all = append(all, buf[:n]...)
				if err != nil {
					break
				}
			}
			sent <- all
			_, _ = io.Copy(io.Discard, path)
		}()
		go func() {
			<-held
			conn, err := net.Dial(network, addr)
			if err != nil {
				return
			}
			defer conn.Close()
			_, _ = conn.Write(<-sent)
			_ = conn.SetReadDeadline(time.Now().Add(time.Second))
			_, _ = io.Copy(io.Discard, conn)
		}()
		return sender, nil
	}
}
