package follow

import "github.com/VictoriaMetrics/metrics"

// counters are the driver's metrics. tableVersion, epoch and platformReachable are
// gauges.
type counters struct {
	tableVersion, epoch, platformReachable                 *metrics.Counter
	pollFailures, refused                                  *metrics.Counter
	writesOK, writesConflict, writesUnknown, writesRefused *metrics.Counter
}

func newCounters(set *metrics.Set) counters {
	c := set.GetOrCreateCounter
	return counters{
		tableVersion:      c(`table_version`),
		epoch:             c(`assignment_epoch`),
		platformReachable: c(`platform_reachable`),
		pollFailures:      c(`platform_poll_failures_total`),
		refused:           c(`refused_content_total`),
		writesOK:          c(`assignment_writes_total{result="committed"}`),
		writesConflict:    c(`assignment_writes_total{result="conflict"}`),
		writesUnknown:     c(`assignment_writes_total{result="unknown"}`),
		writesRefused:     c(`assignment_writes_total{result="refused"}`),
	}
}
