// Package exit names the exit codes that the daemon and the command-line tool
// share.
package exit

// Exit codes of saltbendd and saltbend.
const (
	// OK says that all was done as asked.
	OK = 0
	// Failure says that the work failed while it ran.
	Failure = 1
	// Usage says that flags, environment or an input file are wrong; nothing
	// was started.
	Usage = 2
	// Conflict says that another operator's change won; nothing was written.
	Conflict = 3
	// Unknown says that a write may have taken effect.
	Unknown = 4
	// Unavailable says that the store or the peers were not reached; nothing
	// was written.
	Unavailable = 5
	// Late says that a change was accepted but is not yet in force everywhere.
	Late = 6
	// Forced says that a second signal ended the process before its work was
	// done.
	Forced = 130
)
