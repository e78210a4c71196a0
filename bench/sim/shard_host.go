package sim

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"siskinpath/core/clock"
	"siskinpath/core/route"
)

const (
	probeServiceTime = 6 * Millisecond // time that an upstream takes to answer a health probe
	hedgePercent     = 5               // limit on hedges, as a percentage of requests
)

// shardHost runs a route.Shard: it feeds the shard with events and carries out
// the actions that it returns, as the daemon does.
type shardHost struct {
	sim            *simulation
	index          int
	zone           int
	name           string
	shard          *route.Shard
	calls          map[route.RequestID]*call
	attempts       map[route.AttemptID]*attempt
	lastID         route.RequestID
	tickAt         Micros // time of the scheduled tick, 0 for none
	ownedUpstreams []*upstream
	down           bool
	lastStatus     route.Status   // of the attempt whose end is being processed
	warmUpCounters route.Counters // counters at the end of the warm-up
}

// attempt is an attempt in flight.
type attempt struct {
	id       route.AttemptID
	upstream *upstream
	job      *job
	ended    bool
}

func hostName(i int) string { return fmt.Sprintf("h%02d", i) }

func (sim *simulation) addShardHosts() {
	for i := range sim.sc.Deployment.Hosts {
		h := &shardHost{
			sim: sim, index: i, zone: sim.zoneOfHost(i), name: hostName(i),
			calls:    make(map[route.RequestID]*call),
			attempts: make(map[route.AttemptID]*attempt),
		}
		h.shard = &route.Shard{Rand: rand.New(rand.NewPCG(sim.sc.Seed, uint64(1000+i))), Ablation: sim.sc.Policy.Ablation}
		sim.hosts = append(sim.hosts, h)
	}
	sim.assign()
	sim.at(warmUp, func() {
		for _, h := range sim.hosts {
			s := h.(*shardHost)
			s.warmUpCounters = s.shard.State().Counters
		}
	})
}

// assign assigns each upstream to the owner with the fewest upstreams, and on a
// tie to an owner in the upstream's availability zone.
func (sim *simulation) assign() {
	owners := sim.owners()
	for _, h := range sim.hosts {
		h.(*shardHost).ownedUpstreams = nil
	}
	for _, u := range sim.upstreams {
		best := owners[0]
		for _, o := range owners {
			if ownerRank(o, u) < ownerRank(best, u) {
				best = o
			}
		}
		best.ownedUpstreams = append(best.ownedUpstreams, u)
	}
	for _, h := range sim.hosts {
		s := h.(*shardHost)
		if !s.down {
			s.apply(s.shard.Configure(sim.now.Millis(), s.config(owners)))
		}
	}
}

// ownerRank returns the rank of h as owner of u; the lowest rank is preferred.
func ownerRank(h *shardHost, u *upstream) int {
	const otherZone = 1
	rank := 2 * len(h.ownedUpstreams)
	if h.zone != u.zone {
		rank += otherZone
	}
	return rank
}

// owners returns the running hosts that own upstreams, at most one for each
// upstream.
func (sim *simulation) owners() []*shardHost {
	wanted := sim.sc.Policy.Owners
	if wanted == 0 {
		wanted = sim.sc.Policy.OwnersPerZone * sim.sc.Deployment.Zones
	}
	wanted = min(wanted, sim.sc.Deployment.Upstreams)
	var owners []*shardHost
	for _, h := range sim.hosts {
		s := h.(*shardHost)
		if !s.down && len(owners) < wanted {
			owners = append(owners, s)
		}
	}
	return owners
}

func (h *shardHost) config(owners []*shardHost) route.Config {
	cfg := route.Config{Self: h.name, AvailabilityZone: fmt.Sprint(h.zone), HedgePercent: hedgePercent}
	for _, u := range h.ownedUpstreams {
		cfg.Upstreams = append(cfg.Upstreams, route.Upstream{
			Name: u.name, AvailabilityZone: fmt.Sprint(u.zone), Weight: 100, Share: u.slots, ProbeAllowed: true,
		})
	}
	for _, o := range owners {
		if o != h {
			cfg.Owners = append(cfg.Owners, o.name)
		}
	}
	return cfg
}

func (h *shardHost) now() clock.Millis { return h.sim.now.Millis() }

func (h *shardHost) handle(c *call) {
	h.lastID++
	h.calls[h.lastID] = c
	h.apply(h.shard.Submit(h.now(), route.Request{
		ID: h.lastID, Deadline: c.deadline.Millis(), Idempotent: c.idempotent, Hops: c.hops,
	}))
}

// apply carries out actions of the shard and schedules its next tick.
func (h *shardHost) apply(actions []route.Action) {
	for _, a := range actions {
		h.perform(a)
	}
	next := h.shard.NextTick()
	if next == 0 {
		return
	}
	at := max(fromMillis(next), h.sim.now)
	if h.tickAt > h.sim.now && h.tickAt <= at {
		return
	}
	h.tickAt = at
	h.sim.at(at, func() {
		if h.tickAt == at && !h.down {
			h.tickAt = 0
			h.apply(h.shard.Tick(h.now()))
		}
	})
}

func (h *shardHost) perform(a route.Action) {
	switch a.Kind {
	case route.Send:
		h.startAttempt(a)
	case route.Cancel:
		h.cancelAttempt(a)
	case route.Forward:
		h.forward(a)
	case route.Finish:
		h.end(a.Request, h.outcomeOfAttempt(a))
	case route.Refuse:
		h.end(a.Request, refused)
	case route.Unknown:
		h.end(a.Request, unknown)
	case route.SendDigest:
		h.sendDigest(a.Digest)
	case route.Probe:
		h.probe(a.Upstream)
	}
}

// end ends a call that this host has received.
func (h *shardHost) end(id route.RequestID, o outcome) {
	c := h.calls[id]
	delete(h.calls, id)
	c.end(o)
}

func (h *shardHost) upstreamNamed(name string) *upstream {
	i := slices.IndexFunc(h.sim.upstreams, func(u *upstream) bool { return u.name == name })
	return h.sim.upstreams[i]
}
