// Package freeze suspends processes for tests. SIGSTOP takes effect thread by thread, up to
// tens of milliseconds after it is sent if the host is busy, so a process may still answer
// after the signal. This package waits until all threads are stopped.
package freeze

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// timeout limits the wait until the last thread is stopped.
	timeout = 20 * time.Second
	// pollInterval is the time between two checks of the threads.
	pollInterval = time.Millisecond
	// stoppedState is the state in /proc of a thread stopped by a signal.
	stoppedState = 'T'
)

// Process sends SIGSTOP to a process and returns when all its threads are stopped.
func Process(pid int) error {
	if err := syscall.Kill(pid, syscall.SIGSTOP); err != nil {
		return errors.Wrapf(err, "stop process %d", pid)
	}
	for end := time.Now().Add(timeout); ; time.Sleep(pollInterval) {
		all, err := stopped(pid)
		if err != nil || all {
			return err
		}
		if time.Now().After(end) {
			return errors.Errorf("process %d has threads that are not stopped %s after SIGSTOP", pid, timeout)
		}
	}
}

// stopped reports whether all threads of a process are stopped. A thread that is still
// running may start another, so stopped also requires that the list of threads is the same
// after the check.
func stopped(pid int) (bool, error) {
	threads, err := list(pid)
	if err != nil {
		return false, err
	}
	for _, path := range threads {
		stat, err := os.ReadFile(path)
		if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ESRCH) {
			return false, nil // the thread has ended; check again
		}
		if err != nil {
			return false, errors.Wrap(err, "read thread state")
		}
		// The state follows the name, which is in parentheses and may itself contain
		// parentheses and spaces.
		end := bytes.LastIndex(stat, []byte(") "))
		if end < 0 || stat[end+2] != stoppedState {
			return false, nil
		}
	}
	after, err := list(pid)
	return slices.Equal(threads, after), err
}

// list returns the paths of the files with the states of a process's threads.
func list(pid int) ([]string, error) {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err == nil && len(threads) == 0 {
		err = errors.Errorf("process %d has ended", pid)
	}
	return threads, err
}
