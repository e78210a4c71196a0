package entry

import (
	"strconv"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"siskinpath/core/clock"
	"siskinpath/core/place"
	"siskinpath/core/quarantine"
)

var (
	upstreamEnds        = metrics.NewCounter("upstream_ends_under_requests_total")   // seen by this host
	requestsQuarantined = metrics.NewCounter("requests_quarantined_total")           // by content, as far as this host knows
	quarantineRefusals  = metrics.NewCounter("requests_refused_in_quarantine_total") // before they reached a placer
)

// crashGuard keeps requests that crash upstreams from being sent on. Set the exported
// fields before use.
type crashGuard struct {
	Clock     clock.Clock
	Decisions *decisionLog
	// Announce tells all other hosts of events.
	Announce func([]quarantine.Event)
	// Withhold stops those of the running requests of a work that are in quarantine from
	// being sent on.
	Withhold func(work quarantine.Hash)

	mu       sync.Mutex
	registry quarantine.Registry
}

// verdict returns whether a request is in quarantine.
func (g *crashGuard) verdict(content func() quarantine.Content) quarantine.Verdict {
	if g.empty() {
		return quarantine.Verdict{}
	}
	c := content()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.Verdict(g.Clock.Now(), c)
}

// empty reports whether nothing is known of any request, which spares the fingerprints.
func (g *crashGuard) empty() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.Len() == 0
}

// startOf names a start of an upstream.
func startOf(a place.Action) string {
	return a.Upstream + "@" + strconv.FormatInt(a.Sent.Started, 10)
}

// suspect records that an attempt was lost. Until handleCheck is called the upstream counts
// as ended.
func (g *crashGuard) suspect(p *pendingRequest, a place.Action, ran clock.Millis) {
	c := p.content()
	g.update(c, p.id, func(now clock.Millis) { g.registry.Suspect(now, c, startOf(a), ran) })
}

// handleCheck records whether an upstream has ended that lost an attempt at a time.
func (g *crashGuard) handleCheck(p *pendingRequest, a place.Action, at, ran clock.Millis, hasEnded bool) {
	c := p.content()
	if !hasEnded {
		g.update(c, p.id, func(clock.Millis) { g.registry.Retract(c, startOf(a)) })
		return
	}
	upstreamEnds.Inc()
	var news []quarantine.Event
	g.update(c, p.id, func(now clock.Millis) {
		news = g.registry.Add(now, quarantine.Event{Content: c, Upstream: startOf(a), Age: now - at, Ran: ran})
	})
	g.Announce(news)
}

// succeeded records that a request was served, so that it does not crash upstreams.
func (g *crashGuard) succeeded(p *pendingRequest) {
	if g.empty() {
		return
	}
	c := p.content()
	var news []quarantine.Event
	g.update(c, p.id, func(now clock.Millis) { news = g.registry.Succeeded(now, c) })
	g.Announce(news)
}

// merge records events that another host has announced, and returns those that were not
// known.
func (g *crashGuard) merge(events []quarantine.Event) (news []quarantine.Event) {
	for _, e := range events {
		g.update(e.Content, "", func(now clock.Millis) { news = append(news, g.registry.Add(now, e)...) })
	}
	return news
}

// known returns all events that this host knows.
func (g *crashGuard) known() []quarantine.Event {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.Events(g.Clock.Now())
}

func (g *crashGuard) report() []quarantine.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.Report(g.Clock.Now())
}

// update changes the registry, and acts on a change of the quarantine of a content. id is
// the caller's id of the request that made the difference, "" if another host did.
func (g *crashGuard) update(c quarantine.Content, id string, change func(now clock.Millis)) {
	g.mu.Lock()
	now := g.Clock.Now()
	before := g.registry.Verdict(now, c)
	change(now)
	after := g.registry.Verdict(now, c)
	g.mu.Unlock()
	if before.Scope == after.Scope {
		return
	}
	g.Decisions.logQuarantine(c, id, after)
	if after.Left > 0 {
		requestsQuarantined.Inc()
		g.Withhold(c.Work)
	}
}
