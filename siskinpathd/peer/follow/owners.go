package follow

import (
	"slices"

	"siskinpath/core/membership"
)

// reachability is the epoch and which members of its assignment are present. It
// determines which owners can be offered work.
type reachability struct {
	epoch uint64
	heard []bool // by index in the members of the assignment
}

// checkOwners schedules OnRightsChange if the owners of any service may have changed.
// It must be called with d.mu held.
func (d *Driver) checkOwners() {
	now := reachability{epoch: d.view.Epoch(), heard: make([]bool, len(d.assignment.members))}
	for i, m := range d.assignment.members {
		_, presence := d.view.Find(m.ID, m.Incarnation)
		now.heard[i] = presence == membership.Present
	}
	if now.epoch != d.lastReachability.epoch || !slices.Equal(now.heard, d.lastReachability.heard) {
		d.lastReachability = now
		d.markRightsChanged()
	}
}
