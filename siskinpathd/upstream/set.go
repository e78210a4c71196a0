package upstream

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"siskinpath/core/clock"
	"siskinpath/core/route"
	"siskinpath/core/table"
)

// DialTimeout limits how long connecting to an upstream may take.
const DialTimeout = 500 * clock.Millisecond

// probeURI is the path at which an upstream does a unit of work and reports its load.
const probeURI = "/siskin/probe"

// Set holds the connection pools of all upstreams in the current table.
type Set struct {
	Clock clock.Clock

	mu    sync.RWMutex
	pools map[upstreamKey]*Pool
}

type upstreamKey struct{ service, name string }

var errNoUpstream = errors.New("upstream is no longer in the table")

// Configure applies a table. It closes the pools of upstreams that were removed or
// have a new address, but does not interrupt requests in flight.
func (s *Set) Configure(t *table.Table) {
	pools := make(map[upstreamKey]*Pool)
	s.mu.Lock()
	old := s.pools
	for i := range t.Services {
		for j := range t.Services[i].Upstreams {
			u := &t.Services[i].Upstreams[j]
			k := upstreamKey{service: u.Service, name: u.Name}
			pools[k] = s.updatePool(old[k], u)
		}
	}
	s.pools = pools
	s.mu.Unlock()
	for k, p := range old {
		if pools[k] != p {
			p.Close()
		}
	}
}

// updatePool returns the pool for u. It reuses p if the address is unchanged.
func (s *Set) updatePool(p *Pool, u *table.Upstream) *Pool {
	if p == nil || p.Address != u.Address {
		return &Pool{Address: u.Address, MaxConnections: u.Connections, DialTimeout: DialTimeout, Clock: s.Clock}
	}
	p.SetMaxConnections(u.Connections)
	return p
}

func (s *Set) get(service, name string) *Pool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.pools[upstreamKey{service: service, name: name}]
}

// Send makes an attempt at the upstream with the given name; see Pool.Do.
func (s *Set) Send(ctx context.Context, service, name string, a *Attempt) (*Reply, route.Result, error) {
	p := s.get(service, name)
	if p == nil {
		return nil, route.Result{Status: route.NotSent}, errNoUpstream
	}
	return p.Do(ctx, a)
}

// Probe asks an upstream for a unit of work. The deadline of ctx bounds it.
func (s *Set) Probe(ctx context.Context, service, name string) (result route.ProbeResult) {
	p := s.get(service, name)
	if p == nil {
		return route.ProbeResult{Upstream: name}
	}
	result, _ = p.Probe(ctx, probeURI, "")
	result.Upstream = name
	return result
}

// Sweep closes connections whose idle timeout has passed, in all pools.
func (s *Set) Sweep() {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, p := range s.pools {
		p.Sweep()
	}
}
