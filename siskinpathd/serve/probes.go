package serve

import (
	"sync"

	"siskinpath/core/clock"
	"siskinpath/core/membership"
	"siskinpath/core/probe"
	"siskinpath/core/table"
)

// probes is the measuring budget for use by many goroutines.
type probes struct {
	clock clock.Clock

	mu     sync.Mutex
	budget probe.Budget
	held   map[probed]bool
}

type probed struct{ service, upstream string }

func newProbes(c clock.Clock) *probes { return &probes{clock: c, held: make(map[probed]bool)} }

func (p *probes) allow(service, upstream string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.Allow(p.clock.Now(), service, upstream)
}

// configure sets the rates for the upstreams to which this host has the full
// right, and ends the right to probe all others.
func (p *probes) configure(t *table.Table, rights []membership.Right) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	held := make(map[probed]bool)
	for _, r := range rights {
		svc := t.Service(r.Service)
		if !r.Full || svc == nil {
			continue
		}
		held[probed{service: r.Service, upstream: r.Upstream}] = true
		p.budget.SetRate(now, r.Service, r.Upstream, probe.RatePerUpstream(svc.ProbesPerSecond, len(svc.Upstreams)))
	}
	for k := range p.held {
		if !held[k] {
			p.budget.Remove(k.service, k.upstream)
		}
	}
	p.held = held
}
