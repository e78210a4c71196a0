package membership

import "siskinpath/core/clock"

// DefaultHandoverTimeout is the default of View.HandoverTimeout.
const DefaultHandoverTimeout = 2 * clock.Second

// MarkDrained records that no request is in flight any more under rights that
// ended with epoch or before it. Until then, and for at most HandoverTimeout, a
// view with DelayReports set reports the preceding epoch. The next holder waits
// for the report, so that the requests of both hosts together stay within the
// limits of the upstream.
func (v *View) MarkDrained(epoch uint64) { v.drainedEpoch = max(v.drainedEpoch, epoch) }

// reportedEpoch returns the epoch that this host reports to others. It never
// decreases: others rely on a host that has reported an epoch to support no
// older one.
func (v *View) reportedEpoch(now clock.Millis) uint64 {
	if !v.DelayReports || v.drainedEpoch >= v.current.Epoch || now-v.adoptedAt >= v.HandoverTimeout {
		v.lastReported = v.current.Epoch
	} else {
		v.lastReported = max(v.lastReported, v.drainedEpoch)
	}
	return v.lastReported
}
