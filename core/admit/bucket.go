package admit

import "siskinpath/core/clock"

// TokenBucket allows PerSecond events per second, with bursts of up to Burst. The
// zero value allows every event.
type TokenBucket struct {
	PerSecond float64 // tokens per second; 0 or less means no limit
	Burst     float64 // capacity in tokens; values below 1 count as 1
	// StartEmpty makes an unused bucket start without tokens.
	StartEmpty bool

	tokens  float64
	at      clock.Millis
	started bool
}

// Set changes the rate and the burst. Tokens in the bucket are kept up to the new
// burst; an unused bucket starts full unless
// StartEmpty is set.
func (b *TokenBucket) Set(now clock.Millis, perSecond, burst float64) {
	if b.started {
		b.refill(now)
	}
	b.PerSecond = perSecond
	b.Burst = burst
	b.refill(now)
	b.tokens = min(b.tokens, b.burst())
}

// Ready reports whether Take would succeed.
func (b *TokenBucket) Ready(now clock.Millis) bool {
	if b.PerSecond <= 0 {
		return true
	}
	b.refill(now)
	return b.tokens >= 1
}

// Take removes one token and reports whether there was one.
func (b *TokenBucket) Take(now clock.Millis) bool {
	if !b.Ready(now) {
		return false
	}
	if b.PerSecond > 0 {
		b.tokens--
	}
	return true
}

// NextAt returns the earliest time at which Take succeeds.
func (b *TokenBucket) NextAt(now clock.Millis) clock.Millis {
	if b.Ready(now) {
		return now
	}
	wait := (1 - b.tokens) * float64(clock.Second) / b.PerSecond
	return b.at + clock.Millis(wait) + 1
}

func (b *TokenBucket) burst() float64 { return max(1, b.Burst) }

func (b *TokenBucket) refill(now clock.Millis) {
	if !b.started {
		b.started = true
		b.at = now
		if !b.StartEmpty {
			b.tokens = b.burst()
		}
		return
	}
	if now <= b.at {
		return
	}
	gained := float64(now-b.at) * b.PerSecond / float64(clock.Second)
	b.tokens = min(b.burst(), b.tokens+max(0, gained))
	b.at = now
}
