package harness

import (
	"context"
	"crypto/x509"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/test/caller"
	"github.com/saltbend/saltbend/test/fabric"
	"github.com/saltbend/saltbend/test/jsonhttp"
	"github.com/saltbend/saltbend/test/storefake"
	"github.com/saltbend/saltbend/test/upstream"
)

// Secrets is the value of the fleet secrets that tests start with.
const Secrets = "1:5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a"

const (
	runLogPrefix = "runs-"
	dataCentre   = "cardiff-1"
	pollInterval = 50 * time.Millisecond
	stopTimeout  = 20 * time.Second
	// detectionDelay is how long the fabric still sends to a balancer that was killed.
	detectionDelay = 300 * time.Millisecond
	// maxJoin is the highest number of balancers that a new process is given to join.
	maxJoin = 3
)

// Pair is an upstream and the agent that runs beside it.
type Pair struct {
	Service  string
	Upstream *Process
	Agent    *Process
}

// SetBehaviour changes the behaviour that the upstream simulates.
func (p *Pair) SetBehaviour(ctx context.Context, b upstream.Behaviour) error {
	return jsonhttp.Do(ctx, http.MethodPut, p.Upstream.URL("address")+"/behaviour", b, nil)
}

// Load fetches the load that the upstream reports.
func (p *Pair) Load(ctx context.Context) (upstream.Load, error) {
	var load upstream.Load
	err := jsonhttp.Do(ctx, http.MethodGet, p.Upstream.URL("address")+upstream.PathLoad, nil, &load)
	return load, err
}

// Fleet runs the store, the fabric, the balancers, and the agents with their upstreams
// as processes.
type Fleet struct {
	Store  *Process
	Fabric fabric.Client
	// Faces maps each service to its public address (face).
	Faces map[string]netip.AddrPort

	dir       string
	bin       string
	roots     *x509.CertPool
	env       []string
	mu        sync.Mutex // guards what follows
	all       []*Process
	balancers map[string]*Process // running, by name
	nextID    int
}

// New starts the store and the fabric with one face for each service. bin is
// the directory of the programs that Build made; logs and other files are written to dir.
func New(ctx context.Context, bin, dir string, services ...string) (*Fleet, error) {
	f := &Fleet{
		Faces:     make(map[string]netip.AddrPort),
		dir:       dir,
		bin:       bin,
		balancers: make(map[string]*Process),
	}
	f.env = []string{f.secretsEnv(), "SALTBEND_DC=" + dataCentre}
	if err := f.writeSecrets(Secrets); err != nil {
		return nil, err
	}
	if err := f.startPlatform(ctx, services); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// Build compiles the product's programs and the test program standin into the directory bin.
func Build(ctx context.Context, bin string) error {
	const module = "github.com/saltbend/saltbend"
	cmd := exec.CommandContext(ctx, "go", "build", "-o", bin+"/",
		module+"/cmd/saltbendd", module+"/cmd/saltbend", module+"/test/cmd/standin")
	out, err := cmd.CombinedOutput()
	return errors.Wrapf(err, "go build: %s", out)
}

func (f *Fleet) startPlatform(ctx context.Context, services []string) error {
	var err error
	f.roots, err = writeCertificate(f.path("cert.pem"), f.path("key.pem"))
	if err != nil {
		return err
	}
	f.Store, err = f.start(ctx, "store", "standin", "store")
	if err != nil {
		return err
	}
	process, err := f.start(ctx, "fabric", "standin", "fabric")
	if err != nil {
		return err
	}
	f.Fabric = fabric.Client{URL: process.URL("address")}
	for _, service := range services {
		if f.Faces[service], err = f.Fabric.OpenFace(ctx); err != nil {
			return err
		}
	}
	return nil
}

// start starts a program and records its process for Close.
func (f *Fleet) start(ctx context.Context, name, program string, args ...string) (*Process, error) {
	p, err := Start(ctx, f.dir, name, filepath.Join(f.bin, program), f.env, args...)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.all = append(f.all, p)
	return p, nil
}

func (f *Fleet) path(name string) string { return filepath.Join(f.dir, name) }

// id returns a name that no process of the fleet has used.
func (f *Fleet) id(kind string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextID++
	return fmt.Sprintf("%s-%d", kind, f.nextID)
}

// memberArgs returns the flags with the store and the balancers that a new process joins.
func (f *Fleet) memberArgs(store string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	args := []string{"--store", store}
	joined := 0
	for _, b := range f.balancers {
		if joined < maxJoin && b.Alive() {
			args = append(args, "--join", b.Address("control").String())
			joined++
		}
	}
	return args
}

// AddBalancer starts a balancer, waits until it serves all faces, and adds it to the
// balancers over which the fabric distributes packets.
func (f *Fleet) AddBalancer(ctx context.Context) (*Process, error) {
	return f.AddBalancerVia(ctx, f.Store.URL("address"))
}

// AddBalancerVia is AddBalancer with another URL of the store.
func (f *Fleet) AddBalancerVia(ctx context.Context, store string) (*Process, error) {
	p, err := f.startBalancer(ctx, store)
	if err != nil {
		return nil, err
	}
	return p, f.AddToFabric(ctx, p)
}

// startBalancer starts a balancer that uses the store at the URL.
func (f *Fleet) startBalancer(ctx context.Context, store string, args ...string) (*Process, error) {
	args = append(append([]string{"balancer", "--face-host", "127.0.0.1"}, f.memberArgs(store)...), args...)
	p, err := f.start(ctx, f.id("balancer"), "saltbendd", args...)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers[p.Name] = p
	return p, nil
}

// AddToFabric waits until the balancer is ready and serves all faces, and adds it to the
// fabric.
func (f *Fleet) AddToFabric(ctx context.Context, p *Process) error {
	var faces map[netip.AddrPort]netip.AddrPort
	err := f.await(ctx, p, func() bool {
		faces = nil
		if jsonhttp.Do(ctx, http.MethodGet, p.URL("ops")+"/faces", nil, &faces) != nil {
			return false
		}
		for _, public := range f.Faces {
			if _, ok := faces[public]; !ok {
				return false
			}
		}
		return f.Ready(ctx, p)
	})
	if err != nil {
		return err
	}
	return f.Fabric.SetBalancer(ctx, p.Name, faces)
}

// Ready reports whether the process answers its readiness check with success.
func (f *Fleet) Ready(ctx context.Context, p *Process) bool {
	return jsonhttp.Do(ctx, http.MethodGet, p.URL("ops")+"/readyz", nil, nil) == nil
}

// await polls until done returns true. It fails when the process ends, the context is
// cancelled, or readyTimeout passes.
func (f *Fleet) await(ctx context.Context, p *Process, done func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for !done() {
		select {
		case <-tick.C:
		case <-p.Done():
			return errors.Errorf("%s ended while the harness waited for it:\n%s", p.Name, p.LogTail())
		case <-ctx.Done():
			return errors.Errorf("%s did not reach the expected state in time:\n%s", p.Name, p.LogTail())
		}
	}
	return nil
}

// KillBalancer kills a balancer and removes it from the fabric after detectionDelay, as
// a fabric with health checks does.
func (f *Fleet) KillBalancer(ctx context.Context, p *Process) error {
	p.Kill()
	f.removeBalancer(p)
	time.Sleep(detectionDelay)
	return f.Fabric.RemoveBalancer(ctx, p.Name)
}

// StopBalancer removes a balancer from the fabric and stops it gracefully.
func (f *Fleet) StopBalancer(ctx context.Context, p *Process) error {
	if err := f.Fabric.RemoveBalancer(ctx, p.Name); err != nil {
		return err
	}
	f.removeBalancer(p)
	_, err := p.Stop(stopTimeout)
	return err
}

func (f *Fleet) removeBalancer(p *Process) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.balancers, p.Name)
}

// Balancers returns the balancers that have been neither killed nor stopped.
func (f *Fleet) Balancers() []*Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*Process
	for _, p := range f.balancers {
		out = append(out, p)
	}
	return out
}

// AddPair starts an upstream of the service with its agent and waits until the
// agent is ready. upstreamArgs are further flags of the simulated upstream.
func (f *Fleet) AddPair(ctx context.Context, service string, upstreamArgs ...string) (*Pair, error) {
	name := f.id("upstream")
	args := append([]string{
		"upstream", "--name", name, "--service", service, "--run-log", f.path(runLogPrefix + name),
	}, upstreamArgs...)
	up, err := f.start(ctx, name, "standin", args...)
	if err != nil {
		return nil, err
	}
	pair := &Pair{Service: service, Upstream: up}
	return pair, f.AddAgent(ctx, pair)
}

// AddAgent starts an agent for the pair's upstream and replaces the pair's previous
// agent, if any.
func (f *Fleet) AddAgent(ctx context.Context, pair *Pair) error {
	args := append([]string{
		"agent", "--service", pair.Service, "--upstream", pair.Upstream.URL("address"),
		"--tls-cert", f.path("cert.pem"), "--tls-key", f.path("key.pem"),
	}, f.memberArgs(f.Store.URL("address"))...)
	var err error
	pair.Agent, err = f.start(ctx, f.id("agent"), "saltbendd", args...)
	if err != nil {
		return err
	}
	return f.await(ctx, pair.Agent, func() bool { return f.Ready(ctx, pair.Agent) })
}

// Caller returns a caller of the service that counts into tally. An attempt of a
// submission times out after attempt, if that is not zero.
func (f *Fleet) Caller(name, service string, tally *caller.Tally, attempt time.Duration) *caller.Caller {
	return caller.New(f.CallerOptions(name, service, tally, attempt))
}

// CallerOptions returns the options that Caller uses.
func (f *Fleet) CallerOptions(name, service string, tally *caller.Tally, attempt time.Duration) caller.Options {
	return caller.Options{
		Name:           name,
		Face:           f.Faces[service],
		Service:        service,
		ServerName:     ServerName,
		Roots:          f.roots,
		Tally:          tally,
		AttemptTimeout: attempt,
	}
}

// SetStoreFaults sets the faults that the store simulates.
func (f *Fleet) SetStoreFaults(ctx context.Context, faults storefake.Faults) error {
	return jsonhttp.Do(ctx, http.MethodPut, f.Store.URL("address")+"/faults", faults, nil)
}

// StoreWrites returns the writes that the store applied, oldest first.
func (f *Fleet) StoreWrites(ctx context.Context) ([]storefake.Write, error) {
	var writes []storefake.Write
	err := jsonhttp.Do(ctx, http.MethodGet, f.Store.URL("address")+"/writes", nil, &writes)
	return writes, err
}

// Close kills all processes that the fleet started.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var wait sync.WaitGroup
	for _, p := range f.all {
		wait.Add(1)
		go func() {
			defer wait.Done()
			p.Kill()
		}()
	}
	wait.Wait()
}

// Logs returns the end of each process's log, for the output of a failed test.
func (f *Fleet) Logs() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out strings.Builder
	for _, p := range f.all {
		fmt.Fprintf(&out, "== %s\n%s\n", p.Name, p.LogTail())
	}
	return out.String()
}

// MakeDir returns a new temporary directory for a fleet.
func MakeDir() (string, error) {
	dir, err := os.MkdirTemp("", "saltbend-")
	return dir, errors.Wrap(err, "make directory")
}
