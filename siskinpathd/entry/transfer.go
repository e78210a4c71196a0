package entry

import (
	"sync/atomic"

	"siskinpath/core/clock"
)

const (
	// slowAfter is how long a client may send or take nothing.
	slowAfter = 2 * clock.Second
	// minTransferRate is the rate, in bytes per second, below which a client counts as slow.
	minTransferRate = 16 << 10
)

// transfer measures how fast a client sends a request or takes a response. The zero value
// measures nothing until begin is called. One goroutine may call begin, add and end, and others
// slow at the same time.
type transfer struct {
	since atomic.Int64 // clock.Millis; 0 while there is no transfer
	due   atomic.Int64 // when the client is slow if nothing more comes
	bytes atomic.Int64
}

func (t *transfer) begin(now clock.Millis) {
	t.bytes.Store(0)
	t.due.Store(int64(now + slowAfter))
	t.since.Store(int64(now))
}

// add counts n bytes. They put off the time at which the client is slow by what they take at
// minTransferRate, but not beyond slowAfter from now.
func (t *transfer) add(now clock.Millis, n int) {
	t.bytes.Add(int64(n))
	due := max(t.due.Load(), int64(now)) + int64(n)*int64(clock.Second)/minTransferRate
	t.due.Store(min(due, int64(now+slowAfter)))
}

func (t *transfer) end() { t.since.Store(0) }

// slow reports whether the client is slow, and since when the transfer lasts.
func (t *transfer) slow(now clock.Millis) (since clock.Millis, slow bool) {
	since = clock.Millis(t.since.Load())
	return since, since != 0 && now >= clock.Millis(t.due.Load())
}
