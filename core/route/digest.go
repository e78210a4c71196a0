package route

import "siskinpath/core/clock"

const (
	digestsPerSecond = 5.0 // rate limit of one shard
	digestBurst      = 5.0
	digestInterval   = 2 * clock.Second // a digest is sent at least this often
	digestMinChange  = 2                // slots or requests by which a count must differ to be worth sending
)

// nextDigestAt returns when the next digest is due.
func (s *Shard) nextDigestAt() clock.Millis {
	if s.digestPending {
		return s.digests.NextAt(s.digestAt)
	}
	return s.digestAt + digestInterval
}

// maybeSendDigest sends a digest when the state changed enough or the last one is
// old, within the rate limit.
func (s *Shard) maybeSendDigest(now clock.Millis) {
	if len(s.owners) == 0 || len(s.cfg.Upstreams) == 0 {
		return
	}
	d := s.currentDigest(now)
	s.digestPending = s.digestWorthSending(now, d)
	if !s.digestPending || !s.digests.Take(now) {
		return
	}
	s.digestPending = false
	s.digestSent = d
	s.digestAt = now
	s.counters.Digests++
	s.emit(Action{Kind: SendDigest, Digest: d})
}

// currentDigest returns the digest of the present state. While requests are queued
// no slot counts as free, since the queue will use it.
func (s *Shard) currentDigest(now clock.Millis) Digest {
	d := Digest{Host: s.cfg.Self, Queued: s.queue.len(), Slots: s.healthySlots()}
	if d.Queued == 0 {
		d.Free = s.spareSlots(now)
	}
	return d
}

// digestWorthSending reports whether d is due by age or differs enough from the
// last digest sent.
func (s *Shard) digestWorthSending(now clock.Millis, d Digest) bool {
	last := s.digestSent
	switch {
	case now-s.digestAt >= digestInterval:
		return true
	case (d.Free > 0) != (last.Free > 0), (d.Queued > 0) != (last.Queued > 0):
		return true
	case d.Queued > queueLengthFactor*last.Queued+digestMinChange, last.Queued > queueLengthFactor*d.Queued+digestMinChange:
		return true
	default:
		return abs(d.Free-last.Free) > max(digestMinChange, last.Free/2) || abs(d.Slots-last.Slots) > digestMinChange
	}
}

func abs(n int) int { return max(n, -n) }

// LocalDigest returns the shard's own digest, to be attached to an answer to
// another host.
func (s *Shard) LocalDigest(now clock.Millis) Digest { return s.currentDigest(now) }
