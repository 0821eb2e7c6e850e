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
	// ticksPerSecond is the resolution of processor times in /proc (USER_HZ), the same on
	// all platforms that Go supports.
	ticksPerSecond = 100
	// utimeField is the index of the user time among the fields that follow the command
	// name in /proc/PID/stat; the next field is the system time.
	utimeField = 11
	kilobyte   = 1024
)

// CPUSeconds returns the user and system time of the process in seconds.
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
			return 0, errors.Wrap(err, "parse processor time")
		}
		ticks += n
	}
	return float64(ticks) / ticksPerSecond, nil
}

// Memory returns the resident memory of the process in bytes, and the part of it that is
// anonymous: not backed by a file and not shared with other processes.
func (p *Process) Memory() (resident, anonymous float64, err error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return 0, 0, errors.Wrap(err, "read status")
	}
	if resident, err = statusBytes(string(status), "VmRSS:"); err != nil {
		return 0, 0, err
	}
	anonymous, err = statusBytes(string(status), "RssAnon:")
	return resident, anonymous, err
}

// statusBytes returns the value of a field of /proc/PID/status in bytes.
func statusBytes(status, name string) (float64, error) {
	_, rest, _ := strings.Cut(status, name)
	text, _, found := strings.Cut(rest, " kB")
	if !found {
		return 0, errors.Errorf("field %s is missing in /proc/PID/status", name)
	}
	n, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	return n * kilobyte, errors.Wrap(err, name)
}

// LoggedAt returns the times, later than since, at which the process logged the message.
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
			continue // not a line of the structured log
		}
		if line.Msg == message && line.Time.After(since) {
			times = append(times, line.Time)
		}
	}
	return times, nil
}
