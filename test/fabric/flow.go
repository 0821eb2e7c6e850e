package fabric

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// face is a public address; only its method run reads from conn.
type face struct {
	fabric *Fabric
	conn   *net.UDPConn
	public netip.AddrPort

	mu    sync.Mutex
	flows map[netip.AddrPort]*flow
}

// flow translates the address of one caller at one face: balancers receive the caller's
// datagrams from the flow's socket.
type flow struct {
	face   *face
	caller netip.AddrPort
	conn   *net.UDPConn
}

func (f *face) run() {
	buf := make([]byte, maxDatagram)
	for {
		n, caller, err := f.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return // closed
		}
		flow := f.flow(caller)
		if flow == nil {
			f.fabric.dropped.Add(1)
			continue
		}
		flow.toBalancer(buf[:n])
	}
}

// flow returns the caller's flow. It opens one if there is none, and returns nil if the
// limit of maxFlows is reached.
func (f *face) flow(caller netip.AddrPort) *flow {
	f.mu.Lock()
	defer f.mu.Unlock()
	if known, ok := f.flows[caller]; ok {
		return known
	}
	if len(f.flows) >= maxFlows {
		return nil
	}
	conn, err := listen()
	if err != nil {
		return nil
	}
	opened := &flow{face: f, caller: caller, conn: conn}
	f.flows[caller] = opened
	go opened.run()
	return opened
}

func (f *face) close() {
	f.conn.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, flow := range f.flows {
		flow.conn.Close()
	}
}

func (f *flow) toBalancer(datagram []byte) {
	fabric := f.face.fabric
	b, local := fabric.table.Load().pick(f.face.public)
	if b == nil {
		fabric.unrouted.Add(1)
		return
	}
	fabric.applyFaults(b.faults, b.faults.CutTo, datagram, func(d []byte) {
		if _, err := f.conn.WriteToUDPAddrPort(d, local); err == nil {
			fabric.toBalancers.Add(1)
		}
	})
}

// run relays replies until the flow has been idle for flowIdleLimit.
func (f *flow) run() {
	defer f.remove()
	fabric := f.face.fabric
	buf := make([]byte, maxDatagram)
	for {
		_ = f.conn.SetReadDeadline(time.Now().Add(flowIdleLimit))
		n, from, err := f.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return // idle or closed
		}
		var faults Faults
		if b := fabric.table.Load().byLocal[from]; b != nil {
			faults = b.faults
		}
		fabric.applyFaults(faults, faults.CutFrom, buf[:n], func(d []byte) {
			if _, err := f.face.conn.WriteToUDPAddrPort(d, f.caller); err == nil {
				fabric.toCallers.Add(1)
			}
		})
	}
}

func (f *flow) remove() {
	f.face.mu.Lock()
	delete(f.face.flows, f.caller)
	f.face.mu.Unlock()
	f.conn.Close()
}
