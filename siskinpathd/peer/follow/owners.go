package follow

import (
	"slices"

	"siskinpath/core/membership"
)

// reach is what decides who can be offered work: the epoch and which of its
// members are heard.
type reach struct {
	epoch uint64
	heard []bool // by place in the assignment's members
}

// noteOwners looks whether the owners of any service may have changed. Called
// with d.mu held.
func (d *Driver) noteOwners() {
	now := reach{epoch: d.view.Epoch(), heard: make([]bool, len(d.assignment.members))}
	for i, m := range d.assignment.members {
		_, presence := d.view.Find(m.ID, m.Incarnation)
		now.heard[i] = presence == membership.Present
	}
	if now.epoch != d.lastReach.epoch || !slices.Equal(now.heard, d.lastReach.heard) {
		d.lastReach = now
		d.changed()
	}
}
