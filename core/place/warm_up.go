package place

import (
	"siskinpath/core/admit"
	"siskinpath/core/clock"
	"siskinpath/core/route"
)

const (
	// maxCheckAge is how long after a status check was sent a request may be sent to an
	// upstream that is limited while it is cold. The upstream may have become cold since,
	// and what it gets until all hosts know adds to the holders' shares.
	maxCheckAge = 30 * clock.Millisecond
	// maxSendDelay is how long after the decision a request may be written to such an
	// upstream without another token. A connection that opens late, or a pause of the
	// process, would else bring together requests of different times.
	maxSendDelay = 30 * clock.Millisecond
	// unawareSends is how many requests of other hosts each holder counts against its share
	// when an upstream that was warm becomes cold: they are sent before all hosts know.
	// Without it, an upstream of four slots in overload got 14 requests in a second where
	// 13.85 were allowed (TestProveWarmUpBound, 25 seeds, 221 hosts).
	unawareSends = 1
	// shareMemory is how long the bucket of a share is kept that this host no longer holds.
	// A bucket is full again long before.
	shareMemory = 10 * clock.Minute
)

// warmUp is what this host knows of an upstream's warm-up.
type warmUp struct {
	until     clock.Millis // until when it is cold
	rowUntil  clock.Millis // the same by its row in service discovery
	told      bool         // a status check has named the time left
	toldAt    clock.Millis
	checked   bool // a status check has been answered
	checkedAt clock.Millis
	freeAt    clock.Millis // when it takes a waiting request again; 0 for none waits
	share     *share       // nil for none
	unaware   int          // unawareSends, or 0 as long as no host can know the upstream as warm
}

// share is this host's share of the limit on a cold upstream.
type share struct {
	bucket admit.TokenBucket
	heldAt clock.Millis // when this host last held it
	owed   int          // requests sent without a token before this host knew that the upstream is cold
}

// settle takes tokens for requests that were sent without one.
func (s *share) settle(now clock.Millis) {
	for s.owed > 0 && s.bucket.Take(now) {
		s.owed--
	}
}

func (s *share) ready(now clock.Millis) bool {
	s.settle(now)
	return s.owed == 0 && s.bucket.Ready(now)
}

func (s *share) take(now clock.Millis) bool { return s.ready(now) && s.bucket.Take(now) }

// nextAt returns the earliest time at which take succeeds.
func (s *share) nextAt(now clock.Millis) clock.Millis {
	s.settle(now)
	return s.bucket.NextAt(now) + clock.Millis(float64(s.owed)*float64(clock.Second)/s.bucket.PerSecond)
}

// cold reports whether u has not warmed up.
func (u *upstream) cold(now clock.Millis) bool { return now < u.warmUp.until }

// coldCost returns by how much u's warm-up multiplies the expected service time. It falls
// slowly at the end, as hosts compare upstreams that are nearly alike.
func (u *upstream) coldCost(now clock.Millis) float64 {
	since := now - u.warmUp.until
	switch {
	case since < 0:
		return coldFactor
	case u.warmUp.until == 0 || since >= coldRamp:
		return 1
	}
	left := 1 - float64(since)/float64(coldRamp)
	return 1 + (coldFactor-1)*left*left
}

// admits reports whether u takes a request as far as its warm-up goes.
func (u *upstream) admits(now clock.Millis) bool {
	return !u.ColdLimited || !u.cold(now) || u.warmUp.share != nil && u.warmUp.share.ready(now)
}

// admitsAt returns from when on u takes a request as far as its warm-up goes.
func (u *upstream) admitsAt(now clock.Millis) clock.Millis {
	switch {
	case !u.ColdLimited || !u.cold(now):
		return now
	case u.warmUp.share == nil:
		return u.warmUp.until
	}
	return min(u.warmUp.until, u.warmUp.share.nextAt(now))
}

// knownWarmOrCold reports whether what this host knows of u's warm-up is recent enough for
// a send. It always is for a cold upstream, which gets no more than this host's share.
func (p *Placer) knownWarmOrCold(now clock.Millis, u *upstream) bool {
	if !u.ColdLimited || u.cold(now) || p.Tuning.NoProbe || p.cfg.ProbesPerSecond <= 0 {
		return true
	}
	return u.warmUp.checked && now-u.warmUp.checkedAt <= maxCheckAge
}

// sendable reports whether r may be sent to u now, regardless of load.
func (p *Placer) sendable(now clock.Millis, r *request, u *upstream) bool {
	return p.usable(now, r, u) && p.knownWarmOrCold(now, u)
}

// configureWarmUp applies what service discovery says of u's warm-up, and this host's
// share. A row may be older than a status check of the last rowLag.
func (p *Placer) configureWarmUp(now clock.Millis, u *upstream) {
	w := &u.warmUp
	w.share = p.shareOf(now, u.Upstream)
	if u.ColdUntil != w.rowUntil {
		w.rowUntil = u.ColdUntil
		if !w.told || now-w.toldAt >= rowLag {
			p.setCold(now, u, u.ColdUntil)
		}
	}
	w.unaware = unawareSends
}

// shareOf returns this host's share of the limit on u while it is cold, nil for none. The
// bucket of a new share was empty when this host started, as its process before may have
// used the whole share, and has filled since. Shares are kept by id, not by start: the
// rows of hosts that lag name the start before, and a share of each start could be used
// for the same process.
func (p *Placer) shareOf(now clock.Millis, u Upstream) *share {
	if !u.ColdLimited || u.ColdPerSecond <= 0 {
		return nil
	}
	s := p.shares[u.ID]
	if s == nil {
		s = &share{bucket: admit.TokenBucket{StartEmpty: true}}
		s.bucket.Set(p.configuredAt, u.ColdPerSecond, u.ColdBurst)
		p.shares[u.ID] = s
	}
	s.heldAt = now
	s.bucket.Set(now, u.ColdPerSecond, u.ColdBurst)
	return s
}

// pruneShares forgets shares that this host has not held for shareMemory.
func (p *Placer) pruneShares(now clock.Millis) {
	for id, s := range p.shares {
		if now-s.heldAt > shareMemory {
			delete(p.shares, id)
		}
	}
}

// setCold sets until when u is cold, and records a state change if it was warm. Requests
// that this host has sent since the check before may have found u cold already, so they
// count against its share.
func (p *Placer) setCold(now clock.Millis, u *upstream, until clock.Millis) {
	was := u.cold(now)
	u.warmUp.until = until
	if was || !u.cold(now) {
		return
	}
	if u.warmUp.share != nil {
		u.warmUp.share.owed = max(u.sentBeforeProbe+u.sentSinceProbe, u.warmUp.unaware)
	}
	change := StateChange{Upstream: u.ID, State: StateCold, For: until - now}
	if u.ColdLimited {
		change.PerSecond, change.Burst = u.ColdPerSecond, u.ColdBurst
	}
	p.stateChanges = append(p.stateChanges, change)
}

// recordWarmUp records what an answered status check says of u's warm-up.
func (p *Placer) recordWarmUp(now clock.Millis, u *upstream, res route.ProbeResult) {
	w := &u.warmUp
	w.checked, w.checkedAt = true, u.probedAt
	if !res.ColdKnown {
		return
	}
	w.told, w.toldAt = true, now
	if res.ColdFor > 0 || u.cold(now) {
		p.setCold(now, u, now+res.ColdFor)
	}
}

// takeToken takes a token for a request to u, if u is cold and limited.
func (u *upstream) takeToken(now clock.Millis) {
	if u.ColdLimited && u.cold(now) && u.warmUp.share != nil {
		u.warmUp.share.take(now)
	}
}

// MayWrite reports whether the request of an attempt may still be written to its upstream.
// Call it right before the first byte if the attempt was decided more than maxSendDelay
// ago, as LateWrite tells. It takes another token if the upstream is cold and limited.
func (p *Placer) MayWrite(now clock.Millis, id route.AttemptID) bool {
	a := p.attempts[id]
	if a == nil || a.upstream == nil || !a.upstream.ColdLimited || !LateWrite(now, a.started) {
		return true
	}
	if u := a.upstream; !u.cold(now) {
		return p.knownWarmOrCold(now, u)
	} else if s := u.warmUp.share; s != nil {
		return s.take(now)
	}
	return false
}

// LateWrite reports whether a request whose attempt was decided at a time needs MayWrite.
func LateWrite(now, decided clock.Millis) bool { return now-decided > maxSendDelay }

// ColdUpstreams returns the number of upstreams of this host that were cold at the last
// event.
func (p *Placer) ColdUpstreams() int { return p.coldUpstreams }

// ColdWithheld returns the number of requests that have waited or were refused while a
// cold upstream took nothing from this host.
func (p *Placer) ColdWithheld() int { return p.coldWithheld }

// countWithheld counts r once if a cold upstream would have been usable but for its
// warm-up.
func (p *Placer) countWithheld(now clock.Millis, r *request) {
	if r.coldWithheld || p.coldUpstreams == 0 {
		return
	}
	for _, u := range p.upstreams {
		if p.inUse(now, r, u) && !u.admits(now) {
			r.coldWithheld = true
			p.coldWithheld++
			return
		}
	}
}

// planWarmUp sets when Tick must look at cold upstreams: when one has warmed up, or takes
// one of the queued requests.
func (p *Placer) planWarmUp(now clock.Millis) {
	p.coldUpstreams, p.warmUpAt = 0, 0
	for _, u := range p.upstreams {
		w := &u.warmUp
		if w.freeAt > 0 && w.freeAt <= now {
			p.warmUpAt = now // Tick has not looked yet
		}
		if !u.cold(now) {
			continue
		}
		p.coldUpstreams++
		at := w.until
		if u.ColdLimited && len(p.queue) > 0 {
			at = u.admitsAt(now)
		}
		if at <= now {
			continue
		}
		if u.ColdLimited && w.freeAt == 0 || w.freeAt > now {
			w.freeAt = at
		}
		if p.warmUpAt == 0 || at < p.warmUpAt {
			p.warmUpAt = at
		}
	}
}

// wakeWarm probes the upstreams that take requests again, so that queued requests are sent
// there once their load is known.
func (p *Placer) wakeWarm(now clock.Millis) {
	for _, u := range p.upstreams {
		if u.warmUp.freeAt == 0 || now < u.warmUp.freeAt {
			continue
		}
		u.warmUp.freeAt = 0
		p.probeForQueue(now, u)
	}
}

// probeForQueue probes u for the first queued request, unless its load and its warm-up are
// known or the probe budget is used up.
func (p *Placer) probeForQueue(now clock.Millis, u *upstream) {
	if len(p.queue) == 0 || u.probing || !p.usable(now, p.queue[0], u) || !p.hasSpareProbes(now) {
		return
	}
	if u.fresh(now, maxSendLoadAge) && p.knownWarmOrCold(now, u) || p.Tuning.NoProbe || !p.probes.Allow(now, p.Service, "") {
		return
	}
	p.startProbe(now, u)
}

// startProbe asks u for its load.
func (p *Placer) startProbe(now clock.Millis, u *upstream) {
	u.probing = true
	u.probedAt = now
	u.sentBeforeProbe, u.sentSinceProbe = u.sentSinceProbe, 0
	p.emit(route.Action{Kind: route.Probe, Upstream: u.ID})
}
