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
	// Announce tells all other hosts of ends.
	Announce func([]quarantine.End)
	// Withhold stops the running requests of a content from being sent on, and tells their
	// callers to come back after span.
	Withhold func(f quarantine.Fingerprint, span clock.Millis)

	mu       sync.Mutex
	registry quarantine.Registry
}

// left returns how long a request is still in quarantine, 0 if it is not.
func (g *crashGuard) left(r *request) clock.Millis {
	if g.empty() {
		return 0
	}
	f := r.content()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.Left(g.Clock.Now(), f)
}

// empty reports whether nothing is known of any request, which spares the fingerprint.
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
func (g *crashGuard) suspect(p *pendingRequest, a place.Action) {
	f := p.content()
	g.update(f, p.id, func(now clock.Millis) { g.registry.Suspect(now, f, startOf(a)) })
}

// handleCheck records whether an upstream has ended that had lost an attempt.
func (g *crashGuard) handleCheck(p *pendingRequest, a place.Action, hasEnded bool) {
	f := p.content()
	if !hasEnded {
		g.update(f, p.id, func(clock.Millis) { g.registry.Retract(f, startOf(a)) })
		return
	}
	upstreamEnds.Inc()
	var news []quarantine.End
	g.update(f, p.id, func(now clock.Millis) {
		news = g.registry.Add(now, quarantine.End{Request: f, Upstream: startOf(a)})
	})
	g.Announce(news)
}

// succeeded records that a request was served, so that it does not crash upstreams.
func (g *crashGuard) succeeded(p *pendingRequest) {
	if g.empty() {
		return
	}
	f := p.content()
	var news []quarantine.End
	g.update(f, p.id, func(clock.Millis) { news = g.registry.Succeeded(f) })
	g.Announce(news)
}

// merge records ends that another host has announced, and returns those that were not
// known.
func (g *crashGuard) merge(ends []quarantine.End) (news []quarantine.End) {
	for _, e := range ends {
		g.update(e.Request, "", func(now clock.Millis) { news = append(news, g.registry.Add(now, e)...) })
	}
	return news
}

// known returns all ends that this host knows.
func (g *crashGuard) known() []quarantine.End {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.Ends(g.Clock.Now())
}

func (g *crashGuard) report() []quarantine.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.Report(g.Clock.Now())
}

// update changes the registry, and acts on a change of the quarantine of a content. id is
// the caller's id of the request that made the difference, "" if another host did.
func (g *crashGuard) update(f quarantine.Fingerprint, id string, change func(now clock.Millis)) {
	g.mu.Lock()
	now := g.Clock.Now()
	before := g.registry.Left(now, f)
	change(now)
	after := g.registry.Left(now, f)
	upstreams := g.registry.Upstreams(f)
	g.mu.Unlock()
	if (before > 0) == (after > 0) {
		return
	}
	g.Decisions.logQuarantine(f, id, after, upstreams)
	if after > 0 {
		requestsQuarantined.Inc()
		g.Withhold(f, after)
	}
}
