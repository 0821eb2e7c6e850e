// Package datapath forwards QUIC datagrams between callers and agents. A face
// is a public UDP address of a service; an agent is the process that terminates
// the service's QUIC connections. A flow is one QUIC connection. The fleet is all
// balancers and agents of one installation.
//
// A datagram passes through a fixed sequence of filters: receive, classify,
// route, forward. The path keeps no state per flow: a filter uses only the
// datagram and the current Snapshot, which the control side replaces as a
// whole. Forwarding never blocks on the control side.
package datapath
