package filter

import (
	"math/rand/v2"
	"sync/atomic"

	"siskinpath/core/clock"
	"siskinpath/siskinpathd/call"
)

// Bounds of the retry delay of a request that is refused by a busy host. The
// delay is random within them, so that callers do not retry at the same moment.
const (
	minBusyRetryDelay = 50 * clock.Millisecond
	maxBusyRetryDelay = 250 * clock.Millisecond
)

// Admission limits the requests in flight on this host, so that its memory use is
// bounded no matter how many requests callers send.
type Admission struct {
	MaxInFlight int64
	inFlight    atomic.Int64
}

// Apply implements Filter.
func (a *Admission) Apply(c *call.Call, next Next) call.Answer {
	defer a.inFlight.Add(-1)
	if a.inFlight.Add(1) > a.MaxInFlight {
		retry := minBusyRetryDelay + rand.N(maxBusyRetryDelay-minBusyRetryDelay)
		return call.NotRun(call.ReasonHostBusy, retry)
	}
	return next(c)
}

// InFlight returns the number of requests in flight on this host.
func (a *Admission) InFlight() int64 { return a.inFlight.Load() }
