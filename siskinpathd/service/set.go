package service

import (
	"slices"
	"sync"

	"siskinpath/core/membership"
	"siskinpath/core/route"
	"siskinpath/core/table"
)

// reducedShare is the number of requests that a host may have in flight to an
// upstream for which it does not have the full right.
const reducedShare = 1

// Set holds one Runner for each service that is or was in the table in force. Its
// exported fields are set before the first use.
type Set struct {
	AvailabilityZone string
	HostID           string
	// NewRunner creates the runner of a service.
	NewRunner func(service string) *Runner

	mu      sync.RWMutex
	runners map[string]*Runner
}

// Get returns the runner of a service, or nil.
func (s *Set) Get(service string) *Runner {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.runners[service]
}

// LocalDigest returns this host's load for a service. ok is false when it has no such
// service.
func (s *Set) LocalDigest(service string) (d route.Digest, ok bool) {
	r := s.Get(service)
	if r == nil {
		return d, false
	}
	return r.LocalDigest(), true
}

// Inputs is the data from which the configuration of the runners is derived.
type Inputs struct {
	Table  *table.Table
	Rights []membership.Right                     // what this host may use
	Owners func(service string) []membership.Host // hosts that own upstreams of a service
}

// Configure sets the configuration of every runner. Runners of services that are no
// longer in the table keep their calls in flight and get no upstreams.
func (s *Set) Configure(in Inputs) {
	rights := make(map[string]map[string]membership.Right)
	for _, r := range in.Rights {
		if rights[r.Service] == nil {
			rights[r.Service] = make(map[string]membership.Right)
		}
		rights[r.Service][r.Upstream] = r
	}
	for i := range in.Table.Services {
		svc := &in.Table.Services[i]
		s.runner(svc.Name).Configure(s.config(svc, rights[svc.Name], in.Owners(svc.Name)))
	}
	for _, r := range s.removedRunners(in.Table) {
		r.Configure(route.Config{Self: s.HostID, AvailabilityZone: s.AvailabilityZone})
	}
}

func (s *Set) runner(name string) *Runner {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runners == nil {
		s.runners = make(map[string]*Runner)
	}
	r := s.runners[name]
	if r == nil {
		r = s.NewRunner(name)
		s.runners[name] = r
	}
	return r
}

func (s *Set) removedRunners(t *table.Table) []*Runner {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var removed []*Runner
	for name, r := range s.runners {
		if t.Service(name) == nil {
			removed = append(removed, r)
		}
	}
	return removed
}

func (s *Set) config(svc *table.Service, rights map[string]membership.Right, owners []membership.Host) route.Config {
	cfg := route.Config{
		Self:             s.HostID,
		AvailabilityZone: s.AvailabilityZone,
		HedgePercent:     svc.HedgePercent,
	}
	total, owned := 0, 0
	for i := range svc.Upstreams {
		u := &svc.Upstreams[i]
		total += u.Slots
		right, ok := rights[u.Name]
		if !ok {
			continue
		}
		cfg.Upstreams = append(cfg.Upstreams, upstreamConfig(u, right))
		if right.Full {
			owned += u.Slots
		}
	}
	if svc.RatePerSecond > 0 && owned > 0 {
		// A host's share of the rate limit is proportional to its share of the slots.
		// A host that owns no slots forwards requests, and the owners count them.
		cfg.RatePerSecond = max(svc.RatePerSecond*owned/total, 1)
	}
	for _, h := range owners {
		if h.ID != s.HostID && !slices.Contains(cfg.Owners, h.ID) {
			cfg.Owners = append(cfg.Owners, h.ID)
		}
	}
	return cfg
}

func upstreamConfig(u *table.Upstream, right membership.Right) route.Upstream {
	share, rate := u.Slots, u.RatePerSecond
	if !right.Full {
		share = min(share, reducedShare)
		rate = min(rate, reducedShare)
	}
	return route.Upstream{
		Name:             u.Name,
		AvailabilityZone: u.AvailabilityZone,
		Weight:           u.Weight,
		Share:            share,
		RatePerSecond:    rate,
		Leaving:          u.State == table.Leaving,
		ProbeAllowed:     right.Full,
	}
}

// RevokedAttempts returns the number of attempts in flight to upstreams that this
// host may no longer use.
func (s *Set) RevokedAttempts() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	n := 0
	for _, r := range s.runners {
		n += r.RevokedAttempts()
	}
	return n
}

// States returns the state of each service for the state dump.
func (s *Set) States() map[string]route.State {
	s.mu.RLock()
	defer s.mu.RUnlock()
	states := make(map[string]route.State, len(s.runners))
	for name, r := range s.runners {
		states[name] = r.State()
	}
	return states
}
