// Package exit defines the exit codes of the daemon and of the command-line tool.
package exit

// Exit codes of saltbendd and saltbend.
const (
	// OK: the command succeeded, or the daemon stopped after a stop signal.
	OK = 0
	// Failure: the command or the daemon failed while starting or running.
	Failure = 1
	// Usage: flags, environment or an input file are invalid. Nothing was started or
	// written.
	Usage = 2
	// Conflict: another operator's change was accepted first. Nothing was written.
	Conflict = 3
	// Unknown: the outcome of a write is unknown; it may have taken effect.
	Unknown = 4
	// Unavailable: the store or the queried processes could not be reached. Nothing was
	// written.
	Unavailable = 5
	// Late: a process does not have the newest revision of the configuration in force
	// yet. After an apply, the change was accepted all the same.
	Late = 6
	// Forced: a second stop signal ended the process before its work was done.
	Forced = 130
)
