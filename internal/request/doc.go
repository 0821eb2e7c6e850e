// Package request serves callers' requests at an agent: it classifies them,
// has the scheduler of internal/dispatch order them, runs them on the own
// upstream or on a sibling, and ends each in exactly one Outcome.
package request
