package entry

import (
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
	"siskinpath/core/discovery"
)

// countingClock is a clock that stands still and counts how often it is read.
type countingClock struct {
	clock.Manual
	reads atomic.Int64
}

func (c *countingClock) Now() clock.Millis {
	c.reads.Add(1)
	return c.Manual.Now()
}

// TestExpiryTimers guards against one more timer for each change of the upstreams while some
// are missing.
func TestExpiryTimers(t *testing.T) {
	Convey("a hundred changes while an upstream is missing leave one timer", t, func() {
		now := &countingClock{}
		n := &Node{Clock: now}
		start := now.Advance(10 * clock.Second)
		n.registry.Apply(start, []discovery.Entry{{ID: "u", Upstream: &discovery.Upstream{Service: "s", Address: "127.0.0.1:1"}}})
		n.registry.RecordOutage(start)
		n.registry.Apply(start, []discovery.Entry{{ID: "u", Missing: true}})
		now.Advance(n.registry.Next() - start - 10) // due in 10 ms, again and again
		for range 100 {
			n.mu.Lock()
			n.scheduleExpiry()
			n.mu.Unlock()
		}
		now.reads.Store(0)
		time.Sleep(200 * time.Millisecond)
		So(now.reads.Load(), ShouldBeBetweenOrEqual, 2, 2*2*20)
		n.mu.Lock()
		n.expiry.Stop()
		n.registry = discovery.Registry{}
		n.mu.Unlock()
	})
}
