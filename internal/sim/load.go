package sim

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/saltbend/saltbend/internal/dispatch"
	"github.com/saltbend/saltbend/internal/health"
)

const (
	meanService = 20 * time.Millisecond
	// warmUp is the start of a run, whose requests are left out of the results.
	warmUp = 2 * time.Second
	flows  = 400
)

// service is a simulated service. Its size is that of services that users run
// today.
type service struct {
	name      string
	upstreams []*upstream
	// capacity is the service time that the service can process per second, in
	// seconds.
	capacity float64
}

func normalSpeed(time.Duration) float64 { return 1 }

func evenService(name string, n, slots int) service {
	s := service{name: name, capacity: float64(n * slots)}
	for range n {
		s.upstreams = append(s.upstreams, &upstream{slots: slots, slowdown: normalSpeed})
	}
	return s
}

// withSlow makes the first upstream slower by the factor.
func (s service) withSlow(factor float64) service {
	s.name += "-slow"
	s.upstreams[0].slowdown = func(time.Duration) float64 { return factor }
	s.capacity -= float64(s.upstreams[0].slots) * (1 - 1/factor)
	return s
}

// withCold makes the second upstream start cold: it is four times slower at first
// and reaches its normal speed after 10 s.
func (s service) withCold() service {
	const coldFactor, warmTime = 3, 10 * time.Second
	s.name += "-cold"
	s.upstreams[1].slowdown = func(now time.Duration) float64 {
		return 1 + coldFactor*max(0, 1-now.Seconds()/warmTime.Seconds())
	}
	return s
}

// withBroken makes the first upstream answer each request with a fast error while
// its health endpoint reports it as healthy.
func (s service) withBroken() service {
	s.name += "-lying"
	s.upstreams[0].broken = true
	s.capacity -= float64(s.upstreams[0].slots)
	return s
}

// working returns the upstreams that are not broken.
func (s service) working() []*upstream {
	return slices.DeleteFunc(slices.Clone(s.upstreams), func(u *upstream) bool { return u.broken })
}

// arrivals returns a random workload of the given length that uses the fraction
// load of the service's capacity.
func arrivals(seed uint64, s service, load float64, length time.Duration, classes []class) []*work {
	rng := rand.New(rand.NewPCG(seed, 7))
	rate := load * s.capacity / meanService.Seconds()
	var out []*work
	for at := 0.0; ; {
		at += rng.ExpFloat64() / rate
		arrival := time.Duration(at * float64(time.Second))
		if arrival >= length {
			return out
		}
		out = append(out, &work{
			class:   pick(rng, classes),
			arrival: arrival,
			service: time.Duration(rng.ExpFloat64() * float64(meanService)),
			flow:    rng.IntN(flows),
		})
	}
}

func pick(rng *rand.Rand, classes []class) *class {
	at := rng.Float64()
	for i := range classes {
		if at -= classes[i].share; at < 0 {
			return &classes[i]
		}
	}
	return &classes[len(classes)-1]
}

// chooser returns the index of the node at which a request arrives.
type chooser func(k *work, n int) int

// policy describes how requests are distributed and scheduled.
type policy struct {
	name    string
	choose  func(rng *rand.Rand) chooser
	options dispatch.Options
	// single puts all servers behind a single queue.
	single bool
	// ignorePriorities gives all requests the same priority.
	ignorePriorities bool
	queue            int
	// health makes agents limit their upstreams' work by their health.
	health bool
	// hideDeadlines gives the scheduler a deadline of one hour for each request.
	hideDeadlines bool
}

func byHash(*rand.Rand) chooser {
	return func(k *work, n int) int {
		var b [8]byte
		b[0], b[1] = byte(k.flow), byte(k.flow>>8)
		return int(xxhash.Sum64(b[:]) % uint64(n))
	}
}

func atRandom(rng *rand.Rand) chooser {
	return func(_ *work, n int) int { return rng.IntN(n) }
}

// roundRobin simulates four balancers, each with its own round-robin order.
func roundRobin(rng *rand.Rand) chooser {
	var next [4]int
	return func(_ *work, n int) int {
		b := rng.IntN(len(next))
		next[b]++
		return (next[b] + b) % n
	}
}

const unlimitedQueue = 1 << 20

func policies() []policy {
	localOnly := dispatch.Options{LocalOnly: true, IgnoreDeadlines: true}
	return []policy{
		{name: "ideal", choose: atRandom, options: localOnly, single: true, queue: unlimitedQueue},
		{name: "random", choose: atRandom, options: localOnly, queue: unlimitedQueue},
		{name: "round-robin", choose: roundRobin, options: localOnly, queue: unlimitedQueue},
		{name: "hash", choose: byHash, options: localOnly, queue: unlimitedQueue},
		{name: "chosen", choose: byHash, queue: unlimitedQueue, health: true},
	}
}

// result is the result of a run.
type result struct {
	works    []*work
	maxLoad  float64
	messages float64 // between siblings, per request
}

func simulate(p policy, s service, load []*work, delay time.Duration) result {
	w := &simulation{rng: rand.New(rand.NewPCG(1, 2)), delay: delay}
	if p.single {
		w.add(s.working(), p.queue, p.options)
	} else {
		for _, u := range s.upstreams {
			n := w.add([]*upstream{u}, p.queue, p.options)
			if p.health {
				n.tracker = health.NewTracker(epoch, 0)
			}
		}
	}
	w.connectSiblings()
	choose := p.choose(w.rng)
	works := make([]*work, len(load))
	for i := range load {
		k := *load[i]
		works[i] = &k
		works[i].scheduled = *k.class
		if p.ignorePriorities {
			works[i].scheduled.priority = 0
		}
		if p.hideDeadlines {
			works[i].scheduled.deadline = time.Hour
		}
		w.after(k.arrival, func() { w.arrive(w.nodes[choose(&k, len(w.nodes))], dispatch.ID(i+1), works[i]) })
	}
	w.run()
	return result{works: works, maxLoad: w.maxLoad(), messages: float64(w.messages) / float64(len(load))}
}

// pooled simulates the policy with several workloads in parallel and combines the
// results.
func pooled(p policy, s service, loads [][]*work, delay time.Duration) result {
	results := make([]result, len(loads))
	var wait sync.WaitGroup
	for i := range loads {
		wait.Go(func() { results[i] = simulate(p, s, loads[i], delay) })
	}
	wait.Wait()
	var all result
	for _, r := range results {
		all.works = append(all.works, r.works...)
		all.maxLoad += r.maxLoad / float64(len(results))
		all.messages += r.messages / float64(len(results))
	}
	return all
}

// maxLoad returns the ratio of the highest load of a node to the mean load.
func (w *simulation) maxLoad() float64 {
	highest, sum := 0.0, 0.0
	for _, n := range w.nodes {
		highest = max(highest, n.loadIntegral)
		sum += n.loadIntegral
	}
	return highest * float64(len(w.nodes)) / sum
}

// quantile returns the q-quantile of value over the requests for which value
// returns true.
func (r result) quantile(q float64, value func(*work) (time.Duration, bool)) time.Duration {
	var all []time.Duration
	for _, k := range r.works {
		if v, ok := value(k); ok && k.arrival >= warmUp {
			all = append(all, v)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[int(q*float64(len(all)-1))]
}

// failures returns the fraction of requests that an upstream answered with an
// error.
func (r result) failures() float64 {
	n := 0
	for _, k := range r.works {
		if k.failed {
			n++
		}
	}
	return float64(n) / float64(len(r.works))
}

func queueTime(k *work) (time.Duration, bool) { return k.started - k.arrival, !k.refused }
