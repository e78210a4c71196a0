package admit

import (
	"math/rand/v2"

	"siskinpath/core/clock"
)

// RetryDelay says when refused callers may come back, so that they don't all come
// back at once: the more work is refused, the wider they are spread.
type RetryDelay struct {
	Min clock.Millis // shortest time told
	Max clock.Millis // longest time told

	offered  float64
	refused  float64
	decaysAt clock.Millis
}

// spreadHalfLife is the time after which a count weighs half, in milliseconds.
const spreadHalfLife = clock.Second

// RecordRequest counts a request that came.
func (s *RetryDelay) RecordRequest(now clock.Millis) {
	s.decay(now)
	s.offered++
}

// Overload returns offered work as a multiple of work taken on, at least 1.
func (s *RetryDelay) Overload() float64 {
	taken := s.offered - s.refused
	if s.refused <= 0 || s.offered <= 0 {
		return 1
	}
	return max(1, s.offered/max(1, taken))
}

// RecordRefusal counts a refusal and returns after how long the caller may come back:
// busy (the time for which the service has work) times the overload, with half
// of it up to one and a half times drawn at random.
func (s *RetryDelay) RecordRefusal(now, busy clock.Millis, rnd *rand.Rand) clock.Millis {
	s.decay(now)
	s.refused++
	base := float64(max(s.Min, busy)) * s.Overload()
	drawn := clock.Millis(base * (0.5 + rnd.Float64()))
	return min(s.Max, max(s.Min, drawn))
}

func (s *RetryDelay) decay(now clock.Millis) {
	for s.decaysAt+spreadHalfLife <= now {
		if s.offered < 1 && s.refused < 1 {
			s.decaysAt = now
			break
		}
		s.offered /= 2
		s.refused /= 2
		s.decaysAt += spreadHalfLife
	}
}
