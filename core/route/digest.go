package route

import "siskinpath/core/clock"

const (
	digestsPerSecond = 5.0 // most digests of one shard
	digestBurst      = 5.0
	digestInterval   = 2 * clock.Second // longest time between two digests
	digestChange     = 2                // slots by which free must differ to be worth telling
)

// digestWanted returns when the next digest is due.
func (s *Shard) digestWanted() clock.Millis {
	if s.digestDue {
		return s.digests.NextAt(s.digestAt)
	}
	return s.digestAt + digestInterval
}

// tell sends a digest when there is something worth telling.
func (s *Shard) tell(now clock.Millis) {
	if len(s.owners) == 0 || len(s.cfg.Upstreams) == 0 {
		return
	}
	d := s.digest(now)
	s.digestDue = s.worthTelling(now, d)
	if !s.digestDue || !s.digests.Take(now) {
		return
	}
	s.digestDue = false
	s.digestSent = d
	s.digestAt = now
	s.counters.Digests++
	s.emit(Action{Kind: SendDigest, Digest: d})
}

func (s *Shard) digest(now clock.Millis) Digest {
	d := Digest{Host: s.cfg.Self, Queued: s.queue.len(), Slots: s.slots()}
	if d.Queued == 0 {
		d.Free = s.spare(now)
	}
	return d
}

func (s *Shard) worthTelling(now clock.Millis, d Digest) bool {
	last := s.digestSent
	switch {
	case now-s.digestAt >= digestInterval:
		return true
	case (d.Free > 0) != (last.Free > 0), (d.Queued > 0) != (last.Queued > 0):
		return true
	case d.Queued > queueRatio*last.Queued+digestChange, last.Queued > queueRatio*d.Queued+digestChange:
		return true
	default:
		return abs(d.Free-last.Free) > max(digestChange, last.Free/2) || abs(d.Slots-last.Slots) > digestChange
	}
}

func abs(n int) int { return max(n, -n) }

// LocalDigest returns the shard's own digest, to go with an answer to another host.
func (s *Shard) LocalDigest(now clock.Millis) Digest { return s.digest(now) }
