package route

import (
	"math/rand/v2"
	"slices"
	"strings"

	"siskinpath/core/admit"
	"siskinpath/core/clock"
)

const (
	maxHops       = 2    // hosts that a request may be forwarded to
	maxAttempts   = 3    // attempts per request on one host, hedges included
	retryRatio    = 0.1  // retries allowed per request
	retryBurst    = 10.0 // unused retries that may be saved up
	hedgeBurst    = 10.0 // unused hedges that may be saved up
	minRetryAfter = 20 * clock.Millisecond
	maxRetryAfter = 10 * clock.Second
	percentToUnit = 0.01
)

// Shard routes the requests of one service on one host. It is not safe for
// concurrent use. The actions that a method returns are valid until the next call
// of any method.
type Shard struct {
	Rand     *rand.Rand // source of all randomness; required
	Ablation Ablation   // parts of the policy to disable, for measurements

	cfg          Config
	upstreams    []*upstream // sorted by name; removed ones stay for removedUpstreamTTL and until idle
	owners       []*owner    // sorted by host
	requests     map[RequestID]*request
	attempts     map[AttemptID]*attempt
	queue        heap[*request]
	queueEmptyAt clock.Millis // when the queue was last empty
	timers       heap[*timer]
	latencies    latencyHistogram
	policy       admit.Policy[*upstream]
	found        candidates

	rate    admit.SlidingWindow
	retries admit.Budget
	hedges  admit.Budget
	spread  admit.RetryDelay

	digests        admit.TokenBucket
	digestSent     Digest
	digestAt       clock.Millis
	digestPending  bool
	lastAttempt    AttemptID
	lastArrivalSeq uint64
	counters       Counters
	initialised    bool

	out          []Action
	freeRequests freelist[request]
	freeAttempts freelist[attempt]
}

// Configure replaces the shard's configuration. Attempts in flight continue.
func (s *Shard) Configure(now clock.Millis, cfg Config) []Action {
	s.resetActions()
	s.initOnce(now)
	s.cfg = cfg
	s.rate.PerSecond = cfg.RatePerSecond
	s.hedges.Ratio = cfg.HedgePercent * percentToUnit
	s.configureUpstreams(now, cfg.Upstreams)
	s.configureOwners(cfg.Owners)
	s.dispatch(now)
	s.maybeSendDigest(now)
	return s.out
}

// Submit accepts a new request: it is sent, forwarded, queued or refused. A request
// whose ID is already known is ignored.
func (s *Shard) Submit(now clock.Millis, req Request) []Action {
	s.resetActions()
	s.initOnce(now)
	if s.requests[req.ID] != nil {
		return s.out
	}
	s.counters.Arrived++
	r := s.newRequest(req)
	s.spread.RecordRequest(now)
	s.retries.Deposit()
	s.hedges.Deposit()
	switch {
	case req.Deadline <= now+s.minServiceTime():
		s.failRequest(now, r, ReasonDeadline)
	case req.Hops == 0 && !s.rate.Take(now):
		s.failRequest(now, r, ReasonRateLimited)
	default:
		s.assign(now, r)
	}
	s.maybeSendDigest(now)
	return s.out
}

// Withdraw removes a request whose caller disconnected, and cancels its attempts.
func (s *Shard) Withdraw(now clock.Millis, id RequestID) []Action {
	s.resetActions()
	r := s.requests[id]
	if r == nil {
		return s.out
	}
	s.counters.Withdrawn++
	s.removeRequest(r)
	s.dispatch(now)
	s.maybeSendDigest(now)
	return s.out
}

// AttemptEnded records the end of an attempt and finishes, retries or gives up its
// request.
func (s *Shard) AttemptEnded(now clock.Millis, result Result) []Action {
	s.resetActions()
	a := s.attempts[result.Attempt]
	if a == nil {
		return s.out
	}
	delete(s.attempts, a.id)
	a.upstream.remove(a)
	s.timers.remove(&a.hedge)
	s.recordOutcome(now, a, result)
	if r := a.request; r != nil {
		r.removeAttempt(a)
		s.resolve(now, r, a, result.Status)
	}
	s.recycleAttempt(a)
	s.dispatch(now)
	s.maybeSendDigest(now)
	return s.out
}

// Tick runs the timers and health checks that are due by now.
func (s *Shard) Tick(now clock.Millis) []Action {
	s.resetActions()
	s.initOnce(now)
	for s.timers.len() > 0 && s.timers.items[0].at <= now {
		t := s.timers.items[0]
		s.timers.remove(t)
		s.fireTimer(now, t)
	}
	for _, u := range s.upstreams {
		s.checkHealth(now, u)
	}
	s.dispatch(now)
	s.clearRateWaits(now)
	s.removeExpiredUpstreams(now)
	s.maybeSendDigest(now)
	return s.out
}

// NextTick returns the time at which Tick should be called next, 0 for never.
func (s *Shard) NextTick() clock.Millis {
	var next clock.Millis
	if s.timers.len() > 0 {
		next = s.timers.items[0].at
	}
	for _, u := range s.upstreams {
		next = earliest(next, u.checkAt)
		if s.queue.len() > 0 && u.rateReadyAt > 0 {
			next = earliest(next, u.rateReadyAt)
		}
	}
	if len(s.owners) > 0 && len(s.cfg.Upstreams) > 0 {
		next = earliest(next, s.nextDigestAt())
	}
	return next
}

// clearRateWaits clears rateReadyAt of upstreams whose rate limit allows requests
// again.
func (s *Shard) clearRateWaits(now clock.Millis) {
	for _, u := range s.upstreams {
		if u.rateReadyAt <= now {
			u.rateReadyAt = 0
		}
	}
}

func (s *Shard) resetActions() { s.out = s.out[:0] }

// initOnce initialises the zero Shard on its first event.
func (s *Shard) initOnce(now clock.Millis) {
	if s.initialised {
		return
	}
	s.initialised = true
	s.policy = &lowestCost{rand: s.Rand, ablation: &s.Ablation}
	s.requests = make(map[RequestID]*request)
	s.attempts = make(map[AttemptID]*attempt)
	s.retries = admit.Budget{Ratio: retryRatio, Burst: retryBurst}
	s.retries.Fill()
	s.hedges = admit.Budget{Burst: hedgeBurst}
	s.spread = admit.RetryDelay{Min: minRetryAfter, Max: maxRetryAfter}
	s.digests.Set(now, digestsPerSecond, digestBurst)
	s.digestAt = now
}

func (s *Shard) configureUpstreams(now clock.Millis, wanted []Upstream) {
	for _, u := range s.upstreams {
		if u.present {
			u.removedAt = now
		}
		u.present = false
	}
	for _, w := range wanted {
		u := s.findUpstream(w.Name)
		if u == nil {
			u = newUpstream(now, w)
			s.upstreams = append(s.upstreams, u)
		}
		u.configure(w, s.cfg.AvailabilityZone)
	}
	s.removeExpiredUpstreams(now)
	slices.SortFunc(s.upstreams, func(a, b *upstream) int { return strings.Compare(a.Name, b.Name) })
}

func (s *Shard) findUpstream(name string) *upstream {
	for _, u := range s.upstreams {
		if u.Name == name {
			return u
		}
	}
	return nil
}

// removeExpiredUpstreams removes idle upstreams that have been absent from the
// Config for removedUpstreamTTL.
func (s *Shard) removeExpiredUpstreams(now clock.Millis) {
	s.upstreams = slices.DeleteFunc(s.upstreams, func(u *upstream) bool {
		return !u.present && u.inFlight == 0 && now-u.removedAt >= removedUpstreamTTL
	})
}

// earliest returns the earlier of two points in time, where 0 means none.
func earliest(a, b clock.Millis) clock.Millis {
	if a == 0 || (b != 0 && b < a) {
		return b
	}
	return a
}
