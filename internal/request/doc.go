// Package request serves callers' requests at an agent, the process next to one
// upstream, its local upstream. It classifies requests by the configuration, lets the
// scheduler of internal/dispatch order them, runs them on the local upstream or on a
// sibling (another agent of the service), and ends each with exactly one Outcome.
//
// A non-idempotent request runs under a ticket, a token for at most one run. The agent
// that issued the ticket is its home and decides about it (see Tickets). Feeds are
// long-lived event streams.
package request
