package entry

import (
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"siskinpath/core/clock"
	"siskinpath/core/config"
	"siskinpath/core/discovery"
	"siskinpath/core/revision"
	"siskinpath/siskinpathd/watch"
)

// OperatorsRow is a row that operators write. At most one of its fields is set; none if the
// row is of an unknown kind.
type OperatorsRow struct {
	Config *config.Config
	// EvacuatedZone is an availability zone whose upstreams get nothing new while the row
	// exists.
	EvacuatedZone string
}

const (
	// restoredRowWait is how long a row that is missing after the store came back from an older
	// copy keeps its effect. By then operators have written it again.
	restoredRowWait = 3 * clock.Second
	// restoredRowCheck is how often a host looks whether that time has passed.
	restoredRowCheck = 100 * clock.Millisecond
)

var evacuatedZones = metrics.NewGauge("evacuated_zones", nil)

// evacuation is a row that evacuates an availability zone.
type evacuation struct {
	zone     string
	revision revision.Revision
	unknown  bool // reported as an availability zone without upstreams
}

// applyEvacuations applies changed rows of evacuated availability zones. Rows that can't be
// read change nothing.
func (n *Node) applyEvacuations(rows []watch.DecodedRow[OperatorsRow]) {
	n.mu.Lock()
	defer n.mu.Unlock()
	changed := false
	for _, row := range rows {
		known := n.evacuations[row.Key]
		switch {
		case row.Removed && known != nil:
			changed = n.dropEvacuation(row, known) || changed
		case !row.Removed && row.DecodeErr == nil && row.Value.EvacuatedZone != "":
			n.evacuations[row.Key] = &evacuation{zone: row.Value.EvacuatedZone, revision: row.Revision, unknown: known != nil && known.unknown}
			if known == nil {
				n.Log.Info("zone evacuated", "availability_zone", row.Value.EvacuatedZone, "row_version", row.Revision.Version, "row_era", row.Revision.Era)
				changed = true
			}
		}
	}
	if changed {
		n.evacuationsChanged()
	}
}

// dropEvacuation handles the removal of a row. It returns false if the row keeps its effect
// for now, as it may only be missing from an older copy of the store. n.mu must be held.
func (n *Node) dropEvacuation(row watch.DecodedRow[OperatorsRow], known *evacuation) (dropped bool) {
	if row.Lost {
		since := n.Clock.Now()
		time.AfterFunc(restoredRowCheck.Duration(), func() { n.dropMissing(row, known, since) })
		return false
	}
	delete(n.evacuations, row.Key)
	n.Log.Info("zone taken back", "availability_zone", known.zone, "row_version", row.Revision.Version, "row_era", row.Revision.Era)
	return true
}

// dropMissing takes an availability zone back whose row, missing since a time, has not been
// written again: neither since then, nor since the store came back, if this host has read
// the table only later.
func (n *Node) dropMissing(row watch.DecodedRow[OperatorsRow], known *evacuation, since clock.Millis) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.evacuations[row.Key] != known {
		return // written again, or removed
	}
	if n.Clock.Now()-since < restoredRowWait && n.relay.TimeInEra(tableConfig, row.Revision.Era) < restoredRowWait {
		time.AfterFunc(restoredRowCheck.Duration(), func() { n.dropMissing(row, known, since) })
		return
	}
	delete(n.evacuations, row.Key)
	n.Log.Warn("zone taken back", "availability_zone", known.zone, "row_version", row.Revision.Version, "row_era", row.Revision.Era, "missing", true)
	n.evacuationsChanged()
}

// evacuationsChanged passes the evacuated availability zones on. n.mu must be held.
func (n *Node) evacuationsChanged() {
	evacuatedZones.Set(float64(len(n.evacuations)))
	n.reconfigure()
	n.checkEvacuations()
}

// checkEvacuations warns once of each evacuated availability zone in which no upstream is
// registered. n.mu must be held.
func (n *Node) checkEvacuations() {
	if !n.discoveryRead.Load() {
		return
	}
	for _, e := range n.evacuations {
		if !e.unknown && !n.registry.HasZone(e.zone) {
			e.unknown = true
			n.Log.Warn("evacuated zone has no upstream", "availability_zone", e.zone, "row_version", e.revision.Version)
		}
	}
}

// isEvacuated reports whether upstreams of an availability zone get nothing new. n.mu must
// be held.
func (n *Node) isEvacuated(zone string) bool {
	for _, e := range n.evacuations {
		if e.zone == zone {
			return true
		}
	}
	return false
}

// evacuatedZoneNames returns the evacuated availability zones in order. n.mu must be held.
func (n *Node) evacuatedZoneNames() (zones []string) {
	for _, e := range n.evacuations {
		zones = append(zones, e.zone)
	}
	slices.Sort(zones)
	return zones
}

// markEvacuated returns list with the upstreams of evacuated availability zones as leaving,
// and whether these are all that would take requests. n.mu must be held.
func (n *Node) markEvacuated(list []discovery.ActiveUpstream) (marked []discovery.ActiveUpstream, all bool) {
	if len(n.evacuations) == 0 {
		return list, false
	}
	staying, evacuated := 0, 0
	marked = slices.Clone(list)
	for i := range marked {
		u := &marked[i]
		switch {
		case u.Leaving:
		case n.isEvacuated(u.AvailabilityZone):
			u.Leaving = true
			evacuated++
		default:
			staying++
		}
	}
	return marked, evacuated > 0 && staying == 0
}

// warnOfUnknownRows warns once of each operators' row of an unknown kind.
func (n *Node) warnOfUnknownRows(rows []watch.DecodedRow[OperatorsRow]) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, row := range rows {
		if row.Removed || row.DecodeErr != nil || row.Value != (OperatorsRow{}) || n.unknownRows[row.Key] {
			continue
		}
		n.unknownRows[row.Key] = true
		n.Log.Warn("operators' row of unknown kind ignored", "key", row.Key, "row_version", row.Revision.Version)
	}
}
