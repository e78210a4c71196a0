package entry

import (
	"sync/atomic"

	"siskinpath/core/clock"
)

const (
	// slowAfter is how long a transfer may take before its rate counts.
	slowAfter = clock.Second
	// minTransferRate is the rate, in bytes per second, below which a client counts as slow.
	minTransferRate = 16 << 10
)

// transfer measures how fast a client sends a request or takes a response. The zero value
// measures nothing until begin is called. It is safe for concurrent use.
type transfer struct {
	since atomic.Int64 // clock.Millis; 0 while there is no transfer
	bytes atomic.Int64
}

func (t *transfer) begin(now clock.Millis) {
	t.bytes.Store(0)
	t.since.Store(int64(now))
}

func (t *transfer) add(n int) { t.bytes.Add(int64(n)) }

func (t *transfer) end() { t.since.Store(0) }

// slow reports whether the client has been slow, and since when the transfer lasts. The first
// credit bytes don't count.
func (t *transfer) slow(now clock.Millis, credit int64) (since clock.Millis, slow bool) {
	since = clock.Millis(t.since.Load())
	if since == 0 || now-since < slowAfter {
		return since, false
	}
	return since, t.bytes.Load()-credit < minTransferRate*int64(now-since)/int64(clock.Second)
}
