package admit

import "siskinpath/core/clock"

const (
	rateSlots = 100                      // slots of a second
	rateSlot  = clock.Second / rateSlots // length of a slot
	rateKept  = rateSlots + 1            // slots that any second may touch
)

// SlidingWindow allows at most PerSecond events in any second, whenever that
// second begins. Up to 1% of the rate may stay unused. The zero value allows
// every event.
type SlidingWindow struct {
	PerSecond int // events a second; 0 or less means no limit

	counts [rateKept]int32
	total  int
	slot   int64 // newest slot counted
}

// Ready tells whether Take would succeed.
func (w *SlidingWindow) Ready(now clock.Millis) bool {
	if w.PerSecond <= 0 {
		return true
	}
	w.forget(now)
	return w.total < w.PerSecond
}

// Take counts one event, and tells whether it was allowed. Events are counted
// without a limit too, so that one set later holds from its first second on.
func (w *SlidingWindow) Take(now clock.Millis) bool {
	if !w.Ready(now) {
		return false
	}
	w.forget(now)
	w.counts[w.slot%rateKept]++
	w.total++
	return true
}

// NextAt returns the point in time from which Take succeeds.
func (w *SlidingWindow) NextAt(now clock.Millis) clock.Millis {
	if w.Ready(now) {
		return now
	}
	over := w.total - w.PerSecond
	for i := int64(1); i <= rateKept; i++ {
		over -= int(w.counts[(w.slot+i)%rateKept])
		if over < 0 {
			return clock.Millis(w.slot+i) * rateSlot
		}
	}
	return now + clock.Second
}

// forget drops the counts of slots that no second ending now can touch.
func (w *SlidingWindow) forget(now clock.Millis) {
	slot := int64(now / rateSlot)
	for n := 0; w.slot < slot && n < rateKept; n++ {
		w.slot++
		w.total -= int(w.counts[w.slot%rateKept])
		w.counts[w.slot%rateKept] = 0
	}
	w.slot = max(w.slot, slot)
}
