// Package harness runs the product, and simulations of its environment (store, fabric,
// upstreams), as real processes on loopback. Ports are assigned by the kernel; processes
// are ended by process id.
package harness

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/test/freeze"
)

const (
	readyMessage = "Ready."
	readyTimeout = 20 * time.Second
	maxLogLine   = 1 << 20
)

// Process is a process that the harness started.
type Process struct {
	Name string
	// LogPath is the file that receives the process's standard output and standard error.
	LogPath string

	cmd   *exec.Cmd
	ready chan map[string]any
	attrs map[string]any
	done  chan struct{}
}

// Start starts a program and waits until it logs its ready message.
func Start(ctx context.Context, dir, name, program string, env []string, args ...string) (*Process, error) {
	p := &Process{
		Name:    name,
		LogPath: filepath.Join(dir, name+".log"),
		cmd:     exec.Command(program, args...),
		ready:   make(chan map[string]any, 1),
		done:    make(chan struct{}),
	}
	p.cmd.Env = append(os.Environ(), env...)
	// A process group of its own keeps signals to the harness from reaching the process;
	// Pdeathsig makes the kernel kill it when the harness ends.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	output, writer, err := os.Pipe()
	if err != nil {
		return nil, errors.Wrap(err, "open output")
	}
	p.cmd.Stdout, p.cmd.Stderr = writer, writer
	log, err := os.Create(p.LogPath)
	if err != nil {
		return nil, errors.Wrap(err, "create log")
	}
	if err := p.cmd.Start(); err != nil {
		log.Close()
		return nil, errors.Wrapf(err, "start %s", name)
	}
	_ = writer.Close() // the process has its own descriptor of the pipe
	go p.follow(output, log)
	if err := p.awaitReady(ctx); err != nil {
		p.Kill()
		return nil, err
	}
	return p, nil
}

func (p *Process) awaitReady(ctx context.Context) error {
	timeout := time.NewTimer(readyTimeout)
	defer timeout.Stop()
	select {
	case p.attrs = <-p.ready:
		return nil
	case <-p.done:
		return errors.Errorf("%s ended before it was ready:\n%s", p.Name, p.LogTail())
	case <-timeout.C:
		return errors.Errorf("%s did not become ready within %s:\n%s", p.Name, readyTimeout, p.LogTail())
	case <-ctx.Done():
		return ctx.Err()
	}
}

// follow copies the output of the process to its log file, delivers the attributes of the
// ready message, and reaps the process.
func (p *Process) follow(output io.ReadCloser, log *os.File) {
	defer close(p.done)
	defer log.Close()
	defer output.Close()
	lines := bufio.NewScanner(io.TeeReader(output, log))
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		var attrs map[string]any
		if json.Unmarshal(lines.Bytes(), &attrs) == nil && attrs["msg"] == readyMessage {
			select {
			case p.ready <- attrs:
			default: // delivered already
			}
		}
	}
	_ = p.cmd.Wait() // the exit code is read from the process state
}

// Address returns the address under a key of the process's ready message.
func (p *Process) Address(key string) netip.AddrPort {
	text, _ := p.attrs[key].(string)
	addr, _ := netip.ParseAddrPort(text) // the zero value makes the caller's connection attempt fail
	return addr
}

// URL returns the base URL for the address under a key of the ready message.
func (p *Process) URL(key string) string { return "http://" + p.Address(key).String() }

// PID returns the id of the process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Alive reports whether the process is still running.
func (p *Process) Alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the process if it is still running.
func (p *Process) Signal(s syscall.Signal) {
	if p.Alive() {
		_ = p.cmd.Process.Signal(s) // the process may have ended in the meantime
	}
}

// Freeze suspends the process with SIGSTOP, which it can't handle or observe, and returns
// when all its threads are stopped. Thaw resumes it.
func (p *Process) Freeze() error { return freeze.Process(p.PID()) }

// Thaw resumes a frozen process.
func (p *Process) Thaw() { p.Signal(syscall.SIGCONT) }

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Stop sends SIGTERM and returns the exit code. If the process has not ended within the
// timeout, Stop kills it and returns an error.
func (p *Process) Stop(timeout time.Duration) (int, error) {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.ExitCode(), nil
	case <-time.After(timeout):
		p.Kill()
		return p.ExitCode(), errors.Errorf("%s did not stop within %s:\n%s", p.Name, timeout, p.LogTail())
	}
}

// ExitCode returns the exit code of a process that has ended.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// LogTail returns the last 4000 bytes of the process's log.
func (p *Process) LogTail() string {
	const tail = 4000
	data, err := os.ReadFile(p.LogPath)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-tail):])
}
