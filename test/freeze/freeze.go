// Package freeze stops processes for tests. A stop signal is sent at once but
// takes effect thread by thread, up to tens of milliseconds later on a busy
// host: a process that was only signalled may still answer.
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
	// timeout bounds the wait for the last thread.
	timeout = 20 * time.Second
	// lookEvery is the time between two looks at the threads.
	lookEvery = time.Millisecond
	// stoppedState is the kernel's letter for a thread that a signal stopped.
	stoppedState = 'T'
)

// Process stops a process and returns when none of its threads runs any more.
func Process(pid int) error {
	if err := syscall.Kill(pid, syscall.SIGSTOP); err != nil {
		return errors.Wrapf(err, "stop process %d", pid)
	}
	for end := time.Now().Add(timeout); ; time.Sleep(lookEvery) {
		all, err := stopped(pid)
		if err != nil || all {
			return err
		}
		if time.Now().After(end) {
			return errors.Errorf("process %d still runs %s after its stop", pid, timeout)
		}
	}
}

// stopped reports whether all threads of a process are stopped. A thread that
// still runs may start another, so the list must be the same after the look.
func stopped(pid int) (bool, error) {
	threads, err := list(pid)
	if err != nil {
		return false, err
	}
	for _, path := range threads {
		stat, err := os.ReadFile(path)
		if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ESRCH) {
			return false, nil // the thread has ended: look again
		}
		if err != nil {
			return false, errors.Wrap(err, "read thread state")
		}
		// The state follows the name, which is in parentheses and may hold any.
		end := bytes.LastIndex(stat, []byte(") "))
		if end < 0 || stat[end+2] != stoppedState {
			return false, nil
		}
	}
	after, err := list(pid)
	return slices.Equal(threads, after), err
}

// list returns the files that tell the states of a process's threads.
func list(pid int) ([]string, error) {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err == nil && len(threads) == 0 {
		err = errors.Errorf("process %d has ended", pid)
	}
	return threads, err
}
