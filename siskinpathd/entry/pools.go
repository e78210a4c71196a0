package entry

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"siskinpath/core/clock"
	"siskinpath/core/discovery"
	"siskinpath/core/route"
	"siskinpath/siskinpathd/upstream"
)

const (
	// dialTimeout is how long an upstream has to accept a connection: a first
	// packet that was lost is sent again after a second, which is too late anyway.
	dialTimeout = 500 * clock.Millisecond
	// patience is how long after a request's end its connection lives on if nothing
	// cancels it. The placer does, at the end, and says why.
	patience = 500 * clock.Millisecond
	// keepIdle is how long an unused connection is kept when the upstream does not
	// say for how long it keeps its end.
	keepIdle = 5 * clock.Second
)

// UpstreamPools holds the connections to all upstreams that discovery names.
type UpstreamPools struct {
	Clock   clock.Clock
	Dialect *upstream.Dialect

	mu    sync.RWMutex
	pools map[string]*target // by the upstream's id
}

// target is an upstream with its connections.
type target struct {
	*upstream.Pool
	id     string
	health string // path of its status check
}

var errUnknownUpstream = errors.New("discovery no longer names the upstream")

// Configure takes on the upstreams of a service. share is how many connections
// this host may open to each, 0 for no limit.
func (p *UpstreamPools) Configure(list []discovery.ActiveUpstream, health func(service string) string, share func(service string) int) {
	pools := map[string]*target{}
	p.mu.Lock()
	old := p.pools
	for _, k := range list {
		t := old[k.ID]
		if t == nil || t.Address != k.Address {
			t = &target{id: k.ID, Pool: &upstream.Pool{
				Address: k.Address, DialTimeout: dialTimeout, Clock: p.Clock, Dialect: p.Dialect, KeepIdle: keepIdle, Patience: patience,
			}}
		} else {
			t = &target{id: k.ID, Pool: t.Pool}
		}
		t.health = health(k.Service)
		t.SetMaxConnections(share(k.Service))
		pools[k.ID] = t
	}
	p.pools = pools
	p.mu.Unlock()
	for id, t := range old {
		if pools[id] == nil || pools[id].Pool != t.Pool {
			t.Close()
		}
	}
}

func (p *UpstreamPools) get(id string) *target {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.pools[id]
}

// Send carries out an attempt at an upstream; see upstream.Pool.Do.
func (p *UpstreamPools) Send(ctx context.Context, id string, a *upstream.Attempt) (*upstream.Reply, route.Result, error) {
	t := p.get(id)
	if t == nil {
		return nil, route.Result{Status: route.NotSent}, errUnknownUpstream
	}
	a.Instance = t.id
	return t.Do(ctx, a)
}

// Probe asks an upstream for its load.
func (p *UpstreamPools) Probe(ctx context.Context, id string) (result route.ProbeResult, err error) {
	if t := p.get(id); t != nil {
		result, err = t.Probe(ctx, t.health, t.id)
	} else {
		err = errUnknownUpstream
	}
	result.Upstream = id
	return result, err
}

// Sweep closes connections that have been unused for long.
func (p *UpstreamPools) Sweep() {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, t := range p.pools {
		t.Sweep()
	}
}
