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
	// dialTimeout is how long an upstream has to accept a connection. A lost SYN packet
	// is retransmitted only after a second, which would be too late in any case.
	dialTimeout = 500 * clock.Millisecond
	// replyGrace is how long a connection waits for the reply after the request's
	// deadline if the attempt is not cancelled. The placer cancels attempts at the
	// deadline and records the reason, so the connection must not close before.
	replyGrace = 500 * clock.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the upstream does
	// not announce its own idle time-out.
	defaultIdleTimeout = 5 * clock.Second
)

// UpstreamPools holds the connection pools of all upstreams in discovery.
type UpstreamPools struct {
	Clock   clock.Clock
	Dialect *upstream.Dialect
	Replies *upstream.ReplyBudget // limits the replies; nil means no limit

	Connections *upstream.ConnectionLimit // limits the connections; nil means no limit

	mu    sync.RWMutex
	pools map[string]*pooledUpstream // by upstream id
}

// pooledUpstream is an upstream with its connection pool.
type pooledUpstream struct {
	*upstream.Pool
	id         string
	zone       string // availability zone
	healthPath string // path of the health check
}

var errUnknownUpstream = errors.New("upstream is no longer in discovery")

// Configure sets the upstreams of all services, and closes the pools of upstreams that
// are gone or have a new address. For each service, healthPath returns the path of the
// health check, and connectionLimit the number of connections that this host may open
// to each upstream; 0 means no limit.
func (p *UpstreamPools) Configure(list []discovery.ActiveUpstream, healthPath func(service string) string, connectionLimit func(service string) int) {
	pools := map[string]*pooledUpstream{}
	p.mu.Lock()
	old := p.pools
	for _, k := range list {
		t := old[k.ID]
		if t == nil || t.Address != k.Address {
			t = &pooledUpstream{id: k.ID, Pool: &upstream.Pool{
				Address: k.Address, DialTimeout: dialTimeout, Clock: p.Clock, Dialect: p.Dialect, IdleTimeout: defaultIdleTimeout, ReplyGracePeriod: replyGrace, Replies: p.Replies,
				Connections: p.Connections,
			}}
		} else {
			t = &pooledUpstream{id: k.ID, Pool: t.Pool}
		}
		t.healthPath, t.zone = healthPath(k.Service), k.AvailabilityZone
		t.SetMaxConnections(connectionLimit(k.Service))
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

func (p *UpstreamPools) get(id string) *pooledUpstream {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.pools[id]
}

// Send executes an attempt on an upstream; see upstream.Pool.Do.
func (p *UpstreamPools) Send(ctx context.Context, id string, a *upstream.Attempt) (*upstream.Reply, route.Result, error) {
	t := p.get(id)
	if t == nil {
		return nil, route.Result{Status: route.NotSent}, errUnknownUpstream
	}
	a.Instance = t.id
	inFlight := inFlightOf(t.zone)
	inFlight.Inc()
	defer inFlight.Dec()
	return t.Do(ctx, a)
}

// Probe requests an upstream's load.
func (p *UpstreamPools) Probe(ctx context.Context, id string) (result route.ProbeResult, err error) {
	if t := p.get(id); t != nil {
		result, err = t.Probe(ctx, t.healthPath, t.id)
	} else {
		err = errUnknownUpstream
	}
	result.Upstream = id
	return result, err
}

// closeIdle closes an idle connection of any upstream, and reports whether there was one.
func (p *UpstreamPools) closeIdle() bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, t := range p.pools {
		if t.CloseIdle() {
			return true
		}
	}
	return false
}

// Sweep closes connections that have been idle for too long.
func (p *UpstreamPools) Sweep() {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, t := range p.pools {
		t.Sweep()
	}
}
