package admit

import "siskinpath/core/clock"

const (
	slotsPerSecond = 100
	slotLength     = clock.Second / slotsPerSecond // length of a slot
	trackedSlots   = slotsPerSecond + 1            // slots that a period of one second may overlap
)

// SlidingWindow allows at most PerSecond events in any period of one second. Because it
// counts in slots of a hundredth of a second, up to 1% of the rate may stay unused. The
// zero value allows every event.
type SlidingWindow struct {
	PerSecond int // events per second; 0 or less means no limit

	counts [trackedSlots]int32
	total  int
	slot   int64 // newest slot counted
}

// Ready reports whether Take would succeed.
func (w *SlidingWindow) Ready(now clock.Millis) bool {
	if w.PerSecond <= 0 {
		return true
	}
	w.expire(now)
	return w.total < w.PerSecond
}

// Take reports whether an event is allowed, and counts it if so. Events are counted
// also while there is no limit, so that a limit set later holds at once.
func (w *SlidingWindow) Take(now clock.Millis) bool {
	if !w.Ready(now) {
		return false
	}
	w.expire(now)
	w.counts[w.slot%trackedSlots]++
	w.total++
	return true
}

// NextAt returns the earliest time at which Take succeeds.
func (w *SlidingWindow) NextAt(now clock.Millis) clock.Millis {
	if w.Ready(now) {
		return now
	}
	over := w.total - w.PerSecond
	for i := int64(1); i <= trackedSlots; i++ {
		over -= int(w.counts[(w.slot+i)%trackedSlots])
		if over < 0 {
			return clock.Millis(w.slot+i) * slotLength
		}
	}
	return now + clock.Second
}

// expire drops the counts of slots that lie entirely more than a second before now.
func (w *SlidingWindow) expire(now clock.Millis) {
	slot := int64(now / slotLength)
	for n := 0; w.slot < slot && n < trackedSlots; n++ {
		w.slot++
		w.total -= int(w.counts[w.slot%trackedSlots])
		w.counts[w.slot%trackedSlots] = 0
	}
	w.slot = max(w.slot, slot)
}
