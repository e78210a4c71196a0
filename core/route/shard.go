package route

import (
	"math/rand/v2"
	"slices"
	"strings"

	"siskinpath/core/admit"
	"siskinpath/core/clock"
)

const (
	maxHops       = 2    // hosts a request passes through besides the first
	maxAttempts   = 3    // attempts of one request on one host, hedges included
	retryRatio    = 0.1  // retries for each request
	retryBurst    = 10.0 // retries kept for later
	hedgeBurst    = 10.0 // hedges kept for later
	leastRetry    = 20 * clock.Millisecond
	mostRetry     = 10 * clock.Second
	percentToUnit = 0.01
)

// Shard routes the requests of one service on one host. Its methods must be
// called by one goroutine at a time. The actions a method returns are valid
// until the next call of any method.
type Shard struct {
	Rand     *rand.Rand // source of all randomness; required
	Ablation Ablation   // parts that can be turned off, for measurements

	cfg         Config
	upstreams   []*upstream // sorted by name; those that left stay until idle
	owners      []*owner    // sorted by host
	requests    map[RequestID]*request
	attempts    map[AttemptID]*attempt
	queue       heap[*request]
	queuedSince clock.Millis // when the queue was last empty
	timers      heap[*timer]
	latencies   latencies
	policy      admit.Policy[*upstream]
	found       candidates

	rate    admit.SlidingWindow
	retries admit.Budget
	hedges  admit.Budget
	spread  admit.RetryDelay

	digests     admit.TokenBucket
	digestSent  Digest
	digestAt    clock.Millis
	digestDue   bool
	lastAttempt AttemptID
	lastOrder   uint64
	counters    Counters
	started     bool

	out          []Action
	freeRequests freelist[request]
	freeAttempts freelist[attempt]
}

// Configure replaces what the shard works with. Attempts in flight go on.
func (s *Shard) Configure(now clock.Millis, cfg Config) []Action {
	s.begin()
	s.start(now)
	s.cfg = cfg
	s.rate.PerSecond = cfg.RatePerSecond
	s.hedges.Ratio = cfg.HedgePercent * percentToUnit
	s.configureUpstreams(now, cfg.Upstreams)
	s.configureOwners(cfg.Owners)
	s.dispatch(now)
	s.tell(now)
	return s.out
}

// Submit takes a request in.
func (s *Shard) Submit(now clock.Millis, req Request) []Action {
	s.begin()
	s.start(now)
	if s.requests[req.ID] != nil {
		return s.out
	}
	s.counters.Arrived++
	r := s.newRequest(req)
	s.spread.RecordRequest(now)
	s.retries.Deposit()
	s.hedges.Deposit()
	switch {
	case req.Deadline <= now+s.leastService():
		s.giveUp(now, r, ReasonDeadline)
	case req.Hops == 0 && !s.rate.Take(now):
		s.giveUp(now, r, ReasonRateLimited)
	default:
		s.place(now, r)
	}
	s.tell(now)
	return s.out
}

// Withdraw forgets a request whose caller went away, and cancels its attempts.
func (s *Shard) Withdraw(now clock.Millis, id RequestID) []Action {
	s.begin()
	r := s.requests[id]
	if r == nil {
		return s.out
	}
	s.counters.Withdrawn++
	s.forget(r)
	s.dispatch(now)
	s.tell(now)
	return s.out
}

// AttemptEnded takes in the end of an attempt.
func (s *Shard) AttemptEnded(now clock.Millis, result Result) []Action {
	s.begin()
	a := s.attempts[result.Attempt]
	if a == nil {
		return s.out
	}
	delete(s.attempts, a.id)
	a.upstream.remove(a)
	s.timers.remove(&a.hedge)
	s.learn(now, a, result)
	if r := a.request; r != nil {
		r.drop(a)
		s.settle(now, r, a, result.Status)
	}
	s.recycleAttempt(a)
	s.dispatch(now)
	s.tell(now)
	return s.out
}

// Tick does what is due by now.
func (s *Shard) Tick(now clock.Millis) []Action {
	s.begin()
	s.start(now)
	for s.timers.len() > 0 && s.timers.items[0].at <= now {
		t := s.timers.items[0]
		s.timers.remove(t)
		s.expire(now, t)
	}
	for _, u := range s.upstreams {
		s.watch(now, u)
	}
	s.dispatch(now)
	s.clearBuckets(now)
	s.dropGone(now)
	s.tell(now)
	return s.out
}

// NextTick returns the point in time at which Tick is wanted next, 0 for none.
func (s *Shard) NextTick() clock.Millis {
	var next clock.Millis
	if s.timers.len() > 0 {
		next = s.timers.items[0].at
	}
	for _, u := range s.upstreams {
		next = sooner(next, u.wake)
		if s.queue.len() > 0 && u.bucketAt > 0 {
			next = sooner(next, u.bucketAt)
		}
	}
	if len(s.owners) > 0 && len(s.cfg.Upstreams) > 0 {
		next = sooner(next, s.digestWanted())
	}
	return next
}

// clearBuckets forgets the times of rates that have room again.
func (s *Shard) clearBuckets(now clock.Millis) {
	for _, u := range s.upstreams {
		if u.bucketAt <= now {
			u.bucketAt = 0
		}
	}
}

func (s *Shard) begin() { s.out = s.out[:0] }

func (s *Shard) start(now clock.Millis) {
	if s.started {
		return
	}
	s.started = true
	s.policy = &cheapest{rand: s.Rand, tuning: &s.Ablation}
	s.requests = make(map[RequestID]*request)
	s.attempts = make(map[AttemptID]*attempt)
	s.retries = admit.Budget{Ratio: retryRatio, Burst: retryBurst}
	s.retries.Fill()
	s.hedges = admit.Budget{Burst: hedgeBurst}
	s.spread = admit.RetryDelay{Min: leastRetry, Max: mostRetry}
	s.digests.Set(now, digestsPerSecond, digestBurst)
	s.digestAt = now
}

func (s *Shard) configureUpstreams(now clock.Millis, wanted []Upstream) {
	for _, u := range s.upstreams {
		if u.present {
			u.gone = now
		}
		u.present = false
	}
	for _, w := range wanted {
		u := s.upstreamNamed(w.Name)
		if u == nil {
			u = newUpstream(now, w)
			s.upstreams = append(s.upstreams, u)
		}
		u.configure(w, s.cfg.AvailabilityZone)
	}
	s.dropGone(now)
	slices.SortFunc(s.upstreams, func(a, b *upstream) int { return strings.Compare(a.Name, b.Name) })
}

func (s *Shard) upstreamNamed(name string) *upstream {
	for _, u := range s.upstreams {
		if u.Name == name {
			return u
		}
	}
	return nil
}

// dropGone forgets upstreams that left the Config a while ago and are idle.
func (s *Shard) dropGone(now clock.Millis) {
	s.upstreams = slices.DeleteFunc(s.upstreams, func(u *upstream) bool {
		return !u.present && u.inFlight == 0 && now-u.gone >= goneKept
	})
}

// sooner returns the earlier of two points in time, of which 0 means none.
func sooner(a, b clock.Millis) clock.Millis {
	if a == 0 || (b != 0 && b < a) {
		return b
	}
	return a
}
