package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// ticksPerSecond is the unit of processor time in /proc, on all machines
	// that Go runs on.
	ticksPerSecond = 100
	// utimeField is the place of the user time after the command's name in
	// /proc/PID/stat; the system time follows.
	utimeField = 11
	kilobyte   = 1024
)

// CPUSeconds returns the processor time that the process has used.
func (p *Process) CPUSeconds() (float64, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return 0, errors.Wrap(err, "read stat")
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	ticks := 0
	for _, field := range fields[utimeField : utimeField+2] {
		n, err := strconv.Atoi(field)
		if err != nil {
			return 0, errors.Wrap(err, "processor time")
		}
		ticks += n
	}
	return float64(ticks) / ticksPerSecond, nil
}

// Memory returns the bytes of the process that the machine holds, and those of
// them that no file backs, which only this process has.
func (p *Process) Memory() (resident, anonymous float64, err error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return 0, 0, errors.Wrap(err, "read status")
	}
	if resident, err = amount(string(status), "VmRSS:"); err != nil {
		return 0, 0, err
	}
	anonymous, err = amount(string(status), "RssAnon:")
	return resident, anonymous, err
}

// amount returns a number of bytes from the text of /proc/PID/status.
func amount(status, name string) (float64, error) {
	_, rest, _ := strings.Cut(status, name)
	text, _, found := strings.Cut(rest, " kB")
	if !found {
		return 0, errors.Errorf("no %s in the status of the process", name)
	}
	n, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	return n * kilobyte, errors.Wrap(err, name)
}

// LoggedAt returns when the process logged the message, after since.
func (p *Process) LoggedAt(message string, since time.Time) ([]time.Time, error) {
	data, err := os.ReadFile(p.LogPath)
	if err != nil {
		return nil, errors.Wrap(err, "read log")
	}
	var times []time.Time
	for text := range strings.Lines(string(data)) {
		var line struct {
			Time time.Time
			Msg  string
		}
		if json.Unmarshal([]byte(text), &line) != nil {
			continue // not of the logger
		}
		if line.Msg == message && line.Time.After(since) {
			times = append(times, line.Time)
		}
	}
	return times, nil
}
