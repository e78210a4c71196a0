package follow

import (
	"slices"

	"siskinpath/core/membership"
)

// reachability holds an epoch and which members of its assignment are present. These
// determine which owners requests can be passed to.
type reachability struct {
	epoch   uint64
	present []bool // by index in the members of the assignment
}

// checkOwners schedules OnRightsChange if the owners of any service may have changed.
// It must be called with d.mu held.
func (d *Driver) checkOwners() {
	now := reachability{epoch: d.view.Epoch(), present: make([]bool, len(d.assignment.members))}
	for i, m := range d.assignment.members {
		_, presence := d.view.Find(m.ID, m.Incarnation)
		now.present[i] = presence == membership.Present
	}
	if now.epoch != d.lastReachability.epoch || !slices.Equal(now.present, d.lastReachability.present) {
		d.lastReachability = now
		d.markRightsChanged()
	}
}
