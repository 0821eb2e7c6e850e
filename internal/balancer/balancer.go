// Package balancer assembles the balancer role of the daemon. A balancer receives
// callers' datagrams at the services' public addresses, called faces, and forwards
// them to agents. It consists of the control node, which tracks the members of the
// fleet and the configuration, the data path, which forwards datagrams, and the
// publisher, one goroutine that turns control snapshots into data path snapshots.
package balancer

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/control"
	"github.com/saltbend/saltbend/internal/datapath"
	"github.com/saltbend/saltbend/internal/event"
	"github.com/saltbend/saltbend/internal/keyring"
	"github.com/saltbend/saltbend/internal/logging"
	"github.com/saltbend/saltbend/internal/member"
	"github.com/saltbend/saltbend/internal/process"
	"github.com/saltbend/saltbend/internal/settings"
)

// part identifies the balancer in logs and events.
const part = "balancer"

// eventLeaving is recorded when the process begins to shut down; its detail is the
// grace period.
const eventLeaving event.Kind = "leaving"

// closeTimeout limits the time for announcing the shutdown to the fleet, and the
// time for closing the listeners.
const closeTimeout = 2 * time.Second

// role is a running balancer.
type role struct {
	settings  Settings
	env       settings.Env
	log       *slog.Logger
	process   *process.Process
	data      *net.UDPConn
	node      *control.Node
	path      *datapath.Path
	publisher *publisher
	leaving   atomic.Bool
}

// Run serves until ctx ends. It then announces the shutdown, continues to forward
// for the grace period, and returns.
func Run(ctx context.Context, s Settings, env settings.Env) error {
	limitHeapGrowth()
	r := &role{settings: s, env: env, log: logging.Part(env.Logger, part)}
	defer r.close()
	if err := r.listen(); err != nil {
		return err
	}
	// The background goroutines must keep running for the grace period after ctx
	// ended.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	if err := r.start(background); err != nil {
		return err
	}
	<-ctx.Done()
	r.leave()
	return nil
}

// limitHeapGrowth makes the garbage collector run when the heap has grown by 50 %
// of the live heap, instead of Go's default of 100 %. On a balancer, memory is
// scarcer than CPU time: forwarding does not allocate, so only the control side
// produces garbage. If GOGC is set, it takes precedence.
func limitHeapGrowth() {
	const gcPercent = 50
	if _, set := os.LookupEnv("GOGC"); !set {
		debug.SetGCPercent(gcPercent)
	}
}

// listen opens the listeners that do not depend on the configuration.
func (r *role) listen() (err error) {
	r.process, err = process.Listen(&r.settings.Common, r.env)
	if err != nil {
		return err
	}
	r.data, err = datapath.Bind(r.settings.Data.AddrPort())
	if err != nil {
		return errors.Wrap(err, "data socket")
	}
	r.checkReceiveBuffer()
	return nil
}

// checkReceiveBuffer logs a warning if the kernel granted a smaller receive buffer
// than requested: the kernel then drops more datagrams in a burst, and the
// balancer can't count these.
func (r *role) checkReceiveBuffer() {
	granted, err := datapath.ReceiveBuffer(r.data)
	if err != nil {
		return
	}
	metrics.GetOrCreateGauge("saltbend_balancer_receive_buffer_bytes", nil).Set(float64(granted))
	if granted < datapath.SocketBuffer {
		r.log.Warn("The kernel granted a smaller receive buffer than requested; raise net.core.rmem_max.",
			slog.Int("granted", granted), slog.Int("wanted", datapath.SocketBuffer))
	}
}

// start joins the fleet, starts the data path, and starts publishing snapshots to
// it.
func (r *role) start(ctx context.Context) (err error) {
	r.node, err = r.process.Join(ctx, r.self())
	if err != nil {
		return err
	}
	keys := datapath.NewKeys(r.env.Keys.Ring())
	r.path = datapath.Start(r.data, r.addresses().Data, &datapath.Snapshot{Keys: keys})
	host, _ := r.settings.faceHost()
	r.publisher = &publisher{
		source:      r.node,
		path:        r.path,
		faces:       newFaces(host, r.settings.FaceDrain, r.faceChanged),
		services:    newServices(r.serviceChanged),
		keys:        make(chan *datapath.Keys, 1),
		currentKeys: keys,
		ready:       r.ready,
	}
	r.env.Keys.OnChange(r.setRing)
	r.process.Ops.AddCheck(r.publisher.check)
	r.process.Ops.AddCheck(r.checkLeaving)
	r.process.Ops.HandleJSON("GET /faces", func() any { return r.publisher.local() })
	go r.publisher.run(ctx)
	return nil
}

func (r *role) self() member.Member {
	a := r.addresses()
	return member.Member{
		Control:    a.Control,
		Data:       a.Data,
		Ops:        a.Ops,
		Role:       member.RoleBalancer,
		DataCentre: r.settings.DataCentre,
	}
}

// addresses returns the addresses of the process's listeners.
func (r *role) addresses() settings.Addresses {
	data := r.data.LocalAddr().(*net.UDPAddr).AddrPort()
	return r.process.Addresses(netip.AddrPortFrom(data.Addr().Unmap(), data.Port()))
}

// ready announces to the fleet and to the environment that the balancer is ready.
func (r *role) ready() {
	r.node.SetState(member.StateReady)
	a := r.addresses()
	a.Faces = r.publisher.local()
	r.env.Ready(a)
}

// setRing applies changed secrets to control traffic and to the data path.
func (r *role) setRing(ring *keyring.Ring) {
	if err := r.process.Peer.SetRing(ring); err != nil {
		r.log.Error("Changed secrets could not be applied to control traffic.", slog.String("error", err.Error()))
	}
	r.publisher.setRing(ring)
}

// faceChanged logs and records that a face was opened, drains, was closed, or could
// not be bound.
func (r *role) faceChanged(change faceChange, public netip.AddrPort, err error) {
	detail := public.String()
	if err != nil {
		detail += ": " + err.Error()
		r.log.Error("Face could not be bound.", slog.String("face", public.String()), slog.String("error", err.Error()))
	} else {
		r.log.Info("Face changed state.", slog.String("face", public.String()), slog.String("change", string(change)))
	}
	r.env.Events.Add(part, change, detail)
}

// serviceChanged logs and records a change of the state of a service.
func (r *role) serviceChanged(service string, state serviceState) {
	level := slog.LevelWarn
	if state == serviceServed {
		level = slog.LevelInfo
	}
	r.log.Log(context.Background(), level, "Service changed state.", slog.String("service", service), slog.String("change", string(state)))
	r.env.Events.Add(part, state, service)
}

// leave announces the shutdown and continues to forward for the grace period, so
// that the agents and the fabric (the network in front of the balancers) have time
// to switch to other balancers.
func (r *role) leave() {
	r.log.Info("Leaving.", slog.Duration("grace", r.settings.Grace))
	r.env.Events.Add(part, eventLeaving, r.settings.Grace.String())
	r.leaving.Store(true)
	r.node.SetState(member.StateDraining)
	time.Sleep(r.settings.Grace)
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	r.node.Leave(ctx)
}

// checkLeaving makes the readiness check fail during shutdown, so that fabrics
// that poll it stop sending datagrams to this balancer.
func (r *role) checkLeaving() []string {
	if r.leaving.Load() {
		return []string{"the balancer is shutting down"}
	}
	return nil
}

// close closes the data path and the listeners, as far as they were opened.
func (r *role) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if r.path != nil {
		r.path.Close()
	}
	if r.data != nil {
		_ = r.data.Close()
	}
	if r.process != nil {
		r.process.Close(ctx)
	}
}
