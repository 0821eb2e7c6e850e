// Package balancer assembles the balancer role of the daemon: the control node
// that learns of the fleet, the data path that carries datagrams, and the one
// goroutine that turns what control knows into what the data path acts on.
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

// part names the balancer in logs and events.
const part = "balancer"

// eventLeaving tells that the process ends, with the grace period.
const eventLeaving event.Kind = "leaving"

// closeTimeout bounds the time in which the fleet is told that the process ends
// and the listeners close.
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

// Run serves until ctx ends. It then announces that it leaves, forwards on for
// the grace period, and returns.
func Run(ctx context.Context, s Settings, env settings.Env) error {
	boundGarbage()
	r := &role{settings: s, env: env, log: logging.Part(env.Logger, part)}
	defer r.close()
	if err := r.listen(); err != nil {
		return err
	}
	// What runs in the background outlives ctx by the grace period.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	if err := r.start(background); err != nil {
		return err
	}
	<-ctx.Done()
	r.leave()
	return nil
}

// boundGarbage lets the heap grow by half of what lives, rather than by all of
// it, before it is collected. Memory is scarcer here than processor time:
// datagrams allocate nothing, so only control makes garbage. GOGC goes first.
func boundGarbage() {
	const garbagePercent = 50
	if _, set := os.LookupEnv("GOGC"); !set {
		debug.SetGCPercent(garbagePercent)
	}
}

// listen opens the process's own listeners.
func (r *role) listen() (err error) {
	r.process, err = process.Listen(&r.settings.Common, r.env)
	if err != nil {
		return err
	}
	r.data, err = datapath.Bind(r.settings.Data.AddrPort())
	if err != nil {
		return errors.Wrap(err, "data socket")
	}
	r.checkBuffer()
	return nil
}

// checkBuffer tells operators of a receive buffer that is smaller than asked
// for: what does not fit into it in a burst is lost before it can be counted.
func (r *role) checkBuffer() {
	granted, err := datapath.ReceiveBuffer(r.data)
	if err != nil {
		return
	}
	metrics.GetOrCreateGauge("saltbend_balancer_receive_buffer_bytes", nil).Set(float64(granted))
	if granted < datapath.SocketBuffer {
		r.log.Warn("Receive buffers are small; raise net.core.rmem_max.",
			slog.Int("granted", granted), slog.Int("wanted", datapath.SocketBuffer))
	}
}

// start joins the fleet and begins to publish what it learns.
func (r *role) start(ctx context.Context) (err error) {
	r.node, err = r.process.Join(ctx, r.self())
	if err != nil {
		return err
	}
	keys := datapath.NewKeys(r.env.Keys.Ring())
	r.path = datapath.Start(r.data, r.addresses().Data, &datapath.Snapshot{Keys: keys})
	host, _ := r.settings.faceHost()
	r.publisher = &publisher{
		source:   r.node,
		path:     r.path,
		faces:    newFaces(host, r.settings.FaceDrain, r.faceChanged),
		services: newServices(r.serviceChanged),
		keys:     make(chan *datapath.Keys, 1),
		inUse:    keys,
		ready:    r.ready,
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

// addresses returns the addresses of the process's own listeners.
func (r *role) addresses() settings.Addresses {
	data := r.data.LocalAddr().(*net.UDPAddr).AddrPort()
	return r.process.Addresses(netip.AddrPortFrom(data.Addr().Unmap(), data.Port()))
}

// ready announces that the process serves.
func (r *role) ready() {
	r.node.SetState(member.StateReady)
	a := r.addresses()
	a.Faces = r.publisher.local()
	r.env.Ready(a)
}

// setRing puts changed secrets in force.
func (r *role) setRing(ring *keyring.Ring) {
	if err := r.process.Peer.SetRing(ring); err != nil {
		r.log.Error("Secrets not in force for control traffic.", slog.String("error", err.Error()))
	}
	r.publisher.setRing(ring)
}

// faceChanged tells operators of a face that opened, closed or failed.
func (r *role) faceChanged(change faceChange, public netip.AddrPort, err error) {
	detail := public.String()
	if err != nil {
		detail += ": " + err.Error()
		r.log.Error("Face not bound.", slog.String("face", public.String()), slog.String("error", err.Error()))
	} else {
		r.log.Info("Face changed.", slog.String("face", public.String()), slog.String("change", string(change)))
	}
	r.env.Events.Add(part, change, detail)
}

// serviceChanged tells operators of a service that is served again, or no more.
func (r *role) serviceChanged(service string, state serviceState) {
	level := slog.LevelWarn
	if state == serviceServed {
		level = slog.LevelInfo
	}
	r.log.Log(context.Background(), level, "Service changed.", slog.String("service", service), slog.String("change", string(state)))
	r.env.Events.Add(part, state, service)
}

// leave announces the end and forwards on, until the fabric and the agents
// have had time to turn to other balancers.
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

// checkLeaving makes a balancer that ends not ready, for fabrics that ask.
func (r *role) checkLeaving() []string {
	if r.leaving.Load() {
		return []string{"the balancer is leaving"}
	}
	return nil
}

// close closes what was opened.
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
