package upstream

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

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
	result.Upstream = name
	p := s.get(service, name)
	if p == nil {
		return result
	}
	start := s.Clock.Now()
	c, err := p.get(ctx)
	if err != nil {
		return result
	}
	load, err := probe(ctx, c)
	result.Latency = s.Clock.Now() - start
	if err != nil {
		p.discard(c)
		return result
	}
	p.put(c)
	result.OK = true
	result.Load = load
	return result
}

func probe(ctx context.Context, c *conn) (load *route.LoadReport, err error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(DialTimeout.Duration())
	}
	if err = c.SetDeadline(deadline); err != nil {
		return nil, err
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI(probeURI)
	req.Header.SetHost(hostOf(c.Conn))
	if err = req.Write(c.w); err != nil {
		return nil, err
	}
	if err = c.w.Flush(); err != nil {
		return nil, err
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err = resp.ReadLimitBody(c.r, bufferBytes); err != nil {
		return nil, err
	}
	if resp.StatusCode() != fasthttp.StatusOK || resp.ConnectionClose() {
		return nil, errors.Errorf("probe answered %d", resp.StatusCode())
	}
	return parseLoad(resp.Header.Peek(headerLoad)), nil
}

// Sweep closes connections that have been idle for long.
func (s *Set) Sweep() {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, p := range s.pools {
		p.Sweep()
	}
}
