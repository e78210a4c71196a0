package member

import (
	"strings"

	"siskinpath/core/clock"
)

// drain is what this host has handed over and may still have requests at.
type drain struct {
	since clock.Millis
	keys  []string
	told  uint64 // newest epoch told to others
}

func (d *drain) add(now clock.Millis, key string) {
	d.since = now
	d.keys = append(d.keys, key)
}

// toldEpoch returns the epoch to tell others: the current one, but as long as
// requests are in flight at what was handed over, the one told before. To tell
// less than is known is safe, since others only ever rely on what was told.
func (v *View) toldEpoch(now clock.Millis) uint64 {
	if v.InFlight != nil && now-v.drain.since < v.DrainFor && v.busy() {
		return v.drain.told
	}
	v.drain.keys = v.drain.keys[:0]
	v.drain.told = v.current.Epoch
	return v.drain.told
}

func (v *View) busy() bool {
	for _, key := range v.drain.keys {
		service, upstream, _ := strings.Cut(key, "/")
		if v.InFlight(service, upstream) > 0 {
			return true
		}
	}
	return false
}
