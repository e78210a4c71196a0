package route

import (
	"siskinpath/core/admit"
	"siskinpath/core/clock"
)

const (
	latencyWeight      = 0.1               // weight of the newest latency in an upstream's mean
	successWeight      = 0.1               // weight of the newest result in an upstream's success share
	remotePenalty      = 1.3               // cost factor of another availability zone: how much slower an upstream in this one may be and still go first
	minSuccessShare    = 0.05              // success share assumed at least, so that cost stays finite
	removedUpstreamTTL = 10 * clock.Second // an upstream that left the Config is kept for this time, since its rate limit still counts
	initialWindow      = 1.0               // requests in flight
	windowDecrease     = 0.5               // factor on the window for each failure
	defaultLatencyMs   = 1.0               // assumed of an upstream without any success
)

// upstream is an upstream and the state learned from its traffic and probes.
type upstream struct {
	Upstream
	sameZone    bool
	present     bool         // in the current Config
	removedAt   clock.Millis // when it left the Config
	inFlight    int
	oldest      *attempt
	newest      *attempt
	rate        admit.SlidingWindow
	rateReadyAt clock.Millis // when the rate limit allows a request again; 0 when it does

	window              float64 // congestion window: requests in flight allowed by its recent successes and failures
	latency             float64 // ms, mean of recent successes
	success             float64 // share of recent attempts that succeeded
	samples             int
	failures            int // consecutive
	ejections           int
	health              health
	healthUntil         clock.Millis // when an ejection or demotion is over; 0 for no set time
	checkAt             clock.Millis // when checkHealth is due; 0 for never
	lastOutcomeAt       clock.Millis // last end of an attempt or probe; its creation or reinstatement before any
	drainReportedAt     clock.Millis // first of the present run of draining reports; 0 for none
	servedWhileDraining int          // requests started and served since drainReportedAt
	probing             bool
	probedAt            clock.Millis
}

// health decides whether an upstream is given requests.
type health int

const (
	healthy    health = iota // used normally
	lastResort               // used only when no upstream is healthy
	ejected                  // not used
)

// String returns the name shown in the state dump.
func (h health) String() string {
	switch h {
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

// acceptsWork reports whether the configuration allows new requests to u.
func (u *upstream) acceptsWork() bool {
	return u.present && !u.Leaving && u.Weight > 0 && u.Share > 0
}

// limit returns how many requests may be in flight at u now.
func (u *upstream) limit(off *Ablation) int {
	if off.NoSlowStart {
		return u.Share
	}
	return max(1, min(u.Share, int(u.window)))
}

// free returns the number of free slots of u for new requests.
func (u *upstream) free(off *Ablation) int {
	if !u.acceptsWork() || u.health != healthy {
		return 0
	}
	return max(0, u.limit(off)-u.inFlight)
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

// oldestAge returns how long u's oldest request has been in flight, 0 for none.
func (u *upstream) oldestAge(now clock.Millis) clock.Millis {
	if u.oldest == nil {
		return 0
	}
	return now - u.oldest.started
}

// cost ranks upstreams with a free slot: the lowest is used first. It grows with
// the use of the limit and the latency, and falls with success and weight.
func (u *upstream) cost(off *Ablation) float64 {
	taken := float64(u.inFlight+1) / float64(u.limit(off))
	success := max(minSuccessShare, u.success)
	cost := taken * max(defaultLatencyMs, u.latency) / (success * success * float64(u.Weight))
	if !u.sameZone && !off.NoZonePreference {
		cost *= remotePenalty
	}
	return cost
}
