package membership

import "siskinpath/core/clock"

// DefaultHandoverTimeout bounds how long a host keeps back that it knows an epoch.
const DefaultHandoverTimeout = 2 * clock.Second

// MarkDrained says that nothing is in flight any more under rights that ended with
// epoch or before it. Until then, for at most HandoverFor, a view with
// HoldReports reports the epoch before: whoever takes over waits, so that the
// requests of both stay under the limits of an upstream.
func (v *View) MarkDrained(epoch uint64) { v.released = max(v.released, epoch) }

// reportedEpoch is the epoch that this host tells others it knows. It never goes
// back: others rely on it that a host which told an epoch supports no older one.
func (v *View) reportedEpoch(now clock.Millis) uint64 {
	if !v.DelayReports || v.released >= v.current.Epoch || now-v.adoptedAt >= v.HandoverTimeout {
		v.lastReported = v.current.Epoch
	} else {
		v.lastReported = max(v.lastReported, v.released)
	}
	return v.lastReported
}
