package filter

import (
	"math/rand/v2"
	"sync/atomic"

	"siskinpath/core/clock"
	"siskinpath/siskinpathd/call"
)

// Bounds of the time after which a caller may come back to a busy host. The
// answer lies anywhere between, so that callers spread out.
const (
	minBusyRetryDelay = 50 * clock.Millisecond
	maxBusyRetryDelay = 250 * clock.Millisecond
)

// Admission bounds the requests in flight on this host, so that its memory is
// bounded whatever callers do.
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

// InFlight returns the number of requests on this host now.
func (a *Admission) InFlight() int64 { return a.inFlight.Load() }
