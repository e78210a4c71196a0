package route

import (
	"siskinpath/core/admit"
	"siskinpath/core/clock"
)

const (
	latencyWeight      = 0.1 // weight of the newest latency in an upstream's mean
	successWeight      = 0.1 // weight of the newest end in an upstream's success share
	remotePenalty      = 1.3 // how much slower a near upstream may be and still go first
	minSuccessShare    = 0.05
	removedUpstreamTTL = 10 * clock.Second // for which an upstream that left is remembered: its rate still counts
	initialWindow      = 1.0
	windowDecrease     = 0.5
	defaultLatencyMs   = 1.0 // ms, of an upstream without any success
)

// upstream is an upstream and what its own traffic has told.
type upstream struct {
	Upstream
	sameZone    bool
	present     bool         // in the current Config
	removedAt   clock.Millis // when it left the Config
	inFlight    int
	oldest      *attempt
	newest      *attempt
	rate        admit.RateWindow
	rateReadyAt clock.Millis // when the rate has room again; 0 when it has

	window              float64 // requests in flight that its successes have earned it
	latency             float64 // ms, mean of recent successes
	success             float64 // share of recent attempts that succeeded
	samples             int
	failures            int // in a row
	ejections           int
	health              health
	healthUntil         clock.Millis // end of the standing
	checkAt             clock.Millis // when watch is wanted; 0 for never
	lastOutcomeAt       clock.Millis // last end of an attempt or probe
	drainReportedAt     clock.Millis // first report of draining in a row
	servedWhileDraining int          // new work served in spite of such reports
	probing             bool
	probedAt            clock.Millis
}

// health is how far an upstream is trusted with work.
type health int

const (
	healthy    health = iota // takes work
	lastResort               // takes work only when nothing else does
	ejected                  // takes no work
)

func (st health) String() string {
	switch st {
	case lastResort:
		return "last_used"
	case ejected:
		return "ejected"
	default:
		return "good"
	}
}

func newUpstream(now clock.Millis, w Upstream) *upstream {
	u := &upstream{Upstream: w, success: 1, window: initialWindow, lastOutcomeAt: now}
	u.checkAt = now + idleProbeAfter
	return u
}

func (u *upstream) configure(w Upstream, availabilityZone string) {
	u.Upstream = w
	u.present = true
	u.sameZone = w.AvailabilityZone == availabilityZone
	u.rate.PerSecond = w.RatePerSecond
	u.rateReadyAt = 0
	if u.checkAt == 0 {
		u.checkAt = u.lastOutcomeAt + idleProbeAfter
	}
}

// acceptsWork tells whether the operators want work to go there.
func (u *upstream) acceptsWork() bool {
	return u.present && !u.Leaving && u.Weight > 0 && u.Share > 0
}

// limit returns how many requests may be in flight there now.
func (u *upstream) limit(t *Ablation) int {
	if t.NoSlowStart {
		return u.Share
	}
	return max(1, min(u.Share, int(u.window)))
}

// free returns the slots free there for new work.
func (u *upstream) free(t *Ablation) int {
	if !u.acceptsWork() || u.health != healthy {
		return 0
	}
	return max(0, u.limit(t)-u.inFlight)
}

func (u *upstream) add(a *attempt) {
	u.inFlight++
	a.prev = u.newest
	if u.newest != nil {
		u.newest.next = a
	} else {
		u.oldest = a
	}
	u.newest = a
}

func (u *upstream) remove(a *attempt) {
	u.inFlight--
	if a.prev != nil {
		a.prev.next = a.next
	} else {
		u.oldest = a.next
	}
	if a.next != nil {
		a.next.prev = a.prev
	} else {
		u.newest = a.prev
	}
	a.prev, a.next = nil, nil
}

// oldestAge returns how long the oldest request has been in flight, 0 for none.
func (u *upstream) oldestAge(now clock.Millis) clock.Millis {
	if u.oldest == nil {
		return 0
	}
	return now - u.oldest.started
}

// cost orders upstreams with a free slot: the lowest is used first.
func (u *upstream) cost(t *Ablation) float64 {
	taken := float64(u.inFlight+1) / float64(u.limit(t))
	success := max(minSuccessShare, u.success)
	cost := taken * max(defaultLatencyMs, u.latency) / (success * success * float64(u.Weight))
	if !u.sameZone && !t.NoZonePreference {
		cost *= remotePenalty
	}
	return cost
}
