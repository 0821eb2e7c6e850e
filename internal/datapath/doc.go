// Package datapath carries callers' datagrams to agents and the agents'
// answers back, as filters: receive, classify, route, forward. It keeps no
// state per flow: what a filter needs comes with the datagram or stands in the
// current Snapshot, which the control side replaces as a whole. Datagrams
// never wait for control.
package datapath
