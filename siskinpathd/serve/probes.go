package serve

import (
	"sync"

	"siskinpath/core/clock"
	"siskinpath/core/membership"
	"siskinpath/core/probe"
	"siskinpath/core/table"
)

// probeBudget limits the rate of probes to upstreams. It is safe for concurrent use.
type probeBudget struct {
	clock clock.Clock

	mu      sync.Mutex
	budget  probe.Budget
	targets map[probeTarget]bool // upstreams that have a rate in budget
}

type probeTarget struct{ service, upstream string }

func newProbeBudget(c clock.Clock) *probeBudget {
	return &probeBudget{clock: c, targets: make(map[probeTarget]bool)}
}

func (p *probeBudget) allow(service, upstream string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.Allow(p.clock.Now(), service, upstream)
}

// configure sets the probe rates of the upstreams to which this host has the full
// right, and removes all other upstreams from the budget.
func (p *probeBudget) configure(t *table.Table, rights []membership.Right) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	targets := make(map[probeTarget]bool)
	for _, r := range rights {
		svc := t.Service(r.Service)
		if !r.Full || svc == nil {
			continue
		}
		targets[probeTarget{service: r.Service, upstream: r.Upstream}] = true
		p.budget.SetRate(now, r.Service, r.Upstream, probe.RatePerUpstream(svc.ProbesPerSecond, len(svc.Upstreams)))
	}
	for target := range p.targets {
		if !targets[target] {
			p.budget.Remove(target.service, target.upstream)
		}
	}
	p.targets = targets
}
