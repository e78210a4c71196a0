package route

import (
	"slices"
	"strings"

	"siskinpath/core/clock"
)

const (
	digestMaxAge      = 3 * digestInterval // age from which a digest is ignored
	spillQueueRatio   = 0.5                // queued requests per slot above which the queues of other owners are considered
	queueLengthFactor = 2                  // factor by which a queue must be shorter than the other to count as much shorter
	ownerAvoidTime    = clock.Second       // time for which an owner is avoided that did not run a request and sent no digest
	unknownOwnerFree  = 1                  // free slots assumed for an owner that sent no digest yet
)

// owner is another host that owns upstreams of the service.
type owner struct {
	digest     Digest
	digestAt   clock.Millis // when digest came
	hasDigest  bool         // whether a digest came
	sent       int          // requests forwarded there since its digest
	avoidUntil clock.Millis // other owners are preferred until then, see ownerAvoidTime
}

// free estimates the owner's free slots.
func (o *owner) free() int {
	if !o.hasDigest {
		return unknownOwnerFree - o.sent
	}
	return o.digest.Free - o.sent
}

// betterThan reports whether o is a better target for a request than other.
func (o *owner) betterThan(now clock.Millis, other *owner) bool {
	if o.avoided(now) != other.avoided(now) {
		return other.avoided(now)
	}
	if o.free() > 0 || other.free() > 0 {
		return o.free() > other.free()
	}
	return o.queuePerSlot() < other.queuePerSlot()
}

// avoided reports whether other owners are preferred to o at now.
func (o *owner) avoided(now clock.Millis) bool { return now < o.avoidUntil }

// queuePerSlot estimates the number of requests in o's queue per slot.
func (o *owner) queuePerSlot() float64 {
	return float64(max(0, o.digest.Queued+o.sent-o.digest.Free)) / float64(max(1, o.digest.Slots))
}

func (s *Shard) configureOwners(hosts []string) {
	old := s.owners
	s.owners = nil
	for _, h := range hosts {
		if h == s.cfg.Self {
			continue
		}
		i := slices.IndexFunc(old, func(o *owner) bool { return o.digest.Host == h })
		if i >= 0 {
			s.owners = append(s.owners, old[i])
			continue
		}
		s.owners = append(s.owners, &owner{digest: Digest{Host: h}})
	}
	slices.SortFunc(s.owners, func(a, b *owner) int { return strings.Compare(a.digest.Host, b.digest.Host) })
}

// ReceiveDigest records the digest of another owner, and forwards queued requests
// to that owner when it has free slots.
func (s *Shard) ReceiveDigest(now clock.Millis, d Digest) []Action {
	s.resetActions()
	s.initOnce(now)
	o := s.updateOwner(now, d)
	if o != nil && !s.Ablation.NoPull {
		s.offloadTo(now, o)
	}
	s.maybeSendDigest(now)
	return s.out
}

func (s *Shard) updateOwner(now clock.Millis, d Digest) *owner {
	for _, o := range s.owners {
		if o.digest.Host != d.Host {
			continue
		}
		o.digest = d
		o.digestAt = now
		o.hasDigest = true
		o.sent = 0
		o.avoidUntil = 0
		return o
	}
	return nil
}

// offloadTo forwards queued requests to o. It takes a part of o's free slots that
// is in proportion to this host's part of all queued requests.
func (s *Shard) offloadTo(now clock.Millis, o *owner) {
	if s.queue.len() == 0 || o.digest.Free <= 0 {
		return
	}
	waiting := s.queue.len()
	for _, other := range s.owners {
		if other != o && other.digest.Queued > 0 && now-other.digestAt < digestMaxAge {
			waiting += other.digest.Queued
		}
	}
	part := float64(o.digest.Free) * float64(s.queue.len()) / float64(waiting)
	n := int(part + s.Rand.Float64())
	for i := 0; n > 0 && i < s.queue.len(); {
		r := s.queue.items[i]
		if !s.mayForward(r, o) {
			i++
			continue
		}
		s.counters.Pulled++
		s.forward(r, o)
		n--
	}
}

// mayForward reports whether r may be forwarded to o: r has a hop left, has not
// failed at o, and did not run or is idempotent.
func (s *Shard) mayForward(r *request, o *owner) bool {
	if r.Hops >= maxHops {
		return false
	}
	if r.mayHaveRun && !r.Idempotent {
		return false
	}
	return !slices.Contains(r.triedHosts, o.digest.Host)
}

// spill forwards a request that found no slot here to the best other owner, and
// reports whether it did.
func (s *Shard) spill(now clock.Millis, r *request) bool {
	if s.Ablation.NoSpill {
		return false
	}
	o := s.bestOwner(now, r, true)
	if o == nil {
		return false
	}
	if o.free() <= 0 && !s.hasMuchShorterQueue(o) {
		return false
	}
	s.counters.Spilled++
	s.forward(r, o)
	return true
}

// hasMuchShorterQueue reports whether o's queue, relative to its slots, is so much
// shorter than the one here that a request should wait there.
func (s *Shard) hasMuchShorterQueue(o *owner) bool {
	here := float64(s.queue.len()) / float64(max(1, s.healthySlots()))
	return here > spillQueueRatio && o.queuePerSlot()*queueLengthFactor < here
}

// forwardOrRefuse forwards a request that no upstream here accepts to the best
// owner, and refuses it when there is none.
func (s *Shard) forwardOrRefuse(now clock.Millis, r *request) {
	o := s.bestOwner(now, r, false)
	if o == nil {
		s.failRequest(now, r, ReasonNoUpstream)
		return
	}
	s.forward(r, o)
}

func (s *Shard) forwardQueue(now clock.Millis) {
	for s.queue.len() > 0 {
		r := s.queue.items[0]
		s.queue.remove(r)
		s.forwardOrRefuse(now, r)
	}
}

// bestOwner returns the best owner for r by estimate, at random among equals, nil
// for none. With trusted set it leaves out owners that are avoided and those
// without a recent digest.
func (s *Shard) bestOwner(now clock.Millis, r *request, trusted bool) *owner {
	var best *owner
	same := 0
	for _, o := range s.owners {
		if !s.mayForward(r, o) {
			continue
		}
		if trusted && (!o.hasDigest || o.avoided(now) || now-o.digestAt >= digestMaxAge) {
			continue
		}
		switch {
		case best == nil || o.betterThan(now, best):
			best = o
			same = 1
		case !best.betterThan(now, o):
			same++
			if s.Rand.IntN(same) == 0 {
				best = o
			}
		}
	}
	return best
}

func (s *Shard) forward(r *request, o *owner) {
	s.queue.remove(r)
	s.timers.remove(&r.deadline)
	r.forwarded = true
	o.sent++
	s.counters.Forwarded++
	s.emit(Action{Kind: Forward, Request: r.ID, Host: o.digest.Host})
}

// ForwardEnded records the end of a Forward. The driver ends each Forward by the
// request's deadline; when NotRun and OutcomeUnknown are false, it has answered the
// caller itself.
func (s *Shard) ForwardEnded(now clock.Millis, f ForwardResult) []Action {
	s.resetActions()
	if f.Digest != nil {
		d := *f.Digest
		d.Host = f.Host
		s.updateOwner(now, d)
	}
	r := s.requests[f.Request]
	if r == nil || !r.forwarded {
		return s.out
	}
	if f.NotRun && f.Digest == nil && now < r.Deadline {
		s.avoidOwner(now, f.Host)
	}
	r.forwarded = false
	switch {
	case f.OutcomeUnknown:
		s.forwardOutcomeUnknown(now, r, f.Host)
	case !f.NotRun:
		s.counters.AnsweredElsewhere++
		s.removeRequest(r)
	case now >= r.Deadline:
		s.failRequest(now, r, ReasonDeadline)
	default:
		r.triedHosts = append(r.triedHosts, f.Host)
		r.retryAfter = max(r.retryAfter, f.RetryAfter)
		s.reassign(now, r)
	}
	s.maybeSendDigest(now)
	return s.out
}

// forwardOutcomeUnknown handles a request that another host may have run: an
// idempotent one that is not nested below another call is retried elsewhere.
func (s *Shard) forwardOutcomeUnknown(now clock.Millis, r *request, host string) {
	s.avoidOwner(now, host)
	r.mayHaveRun = true
	r.triedHosts = append(r.triedHosts, host)
	again := r.Idempotent && r.Depth == 0 && now < r.Deadline
	if !again || !s.retries.Withdraw() {
		s.failRequest(now, r, ReasonConnectionLost)
		return
	}
	s.counters.Retried++
	s.assign(now, r)
}

func (s *Shard) avoidOwner(now clock.Millis, host string) {
	for _, o := range s.owners {
		if o.digest.Host == host {
			o.avoidUntil = now + ownerAvoidTime
		}
	}
}

// reassign retries a request that another host did not run, if the retry budget
// allows it.
func (s *Shard) reassign(now clock.Millis, r *request) {
	if !s.retries.Withdraw() {
		s.failRequest(now, r, ReasonOverloaded)
		return
	}
	s.assign(now, r)
}
