package upstream

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"siskinpath/core/clock"
	"siskinpath/core/route"
	"siskinpath/core/table"
)

// DialTimeout is how long an upstream has to accept a connection.
const DialTimeout = 500 * clock.Millisecond

// probeURI is where an upstream does a unit of work and tells its load.
const probeURI = "/siskin/probe"

// Set holds the pools of all upstreams of the table in force.
type Set struct {
	Clock clock.Clock

	mu    sync.RWMutex
	pools map[key]*Pool
}

type key struct{ service, name string }

var errNoUpstream = errors.New("the upstream is no longer in the table")

// Configure follows a table: pools of rows that went away or moved to another
// address close, without cutting off what is in flight.
func (s *Set) Configure(t *table.Table) {
	pools := make(map[key]*Pool)
	s.mu.Lock()
	old := s.pools
	for i := range t.Services {
		for j := range t.Services[i].Upstreams {
			u := &t.Services[i].Upstreams[j]
			k := key{service: u.Service, name: u.Name}
			pools[k] = s.pool(old[k], u)
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

func (s *Set) pool(p *Pool, u *table.Upstream) *Pool {
	if p == nil || p.Address != u.Address {
		return &Pool{Address: u.Address, MaxConnections: u.Connections, DialTimeout: DialTimeout, Clock: s.Clock}
	}
	p.SetMaxConnections(u.Connections)
	return p
}

func (s *Set) get(service, name string) *Pool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.pools[key{service: service, name: name}]
}

// Send carries out an attempt at the upstream name; see Pool.Do.
func (s *Set) Send(ctx context.Context, service, name string, a *Attempt) (*Reply, route.Result, error) {
	p := s.get(service, name)
	if p == nil {
		return nil, route.Result{Status: route.NotSent}, errNoUpstream
	}
	return p.Do(ctx, a)
}

// Probe asks an upstream for a unit of work. It is bounded by ctx's deadline.
func (s *Set) Probe(ctx context.Context, service, name string) (result route.ProbeResult) {
	p := s.get(service, name)
	if p == nil {
		return route.ProbeResult{Upstream: name}
	}
	result, _ = p.Probe(ctx, probeURI, "")
	result.Upstream = name
	return result
}

// Sweep closes connections that have been idle for long.
func (s *Set) Sweep() {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, p := range s.pools {
		p.Sweep()
	}
}
