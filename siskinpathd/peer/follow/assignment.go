package follow

import (
	"encoding/json"
	"net/netip"
	"strings"

	"github.com/pkg/errors"

	"siskinpath/core/clock"
	"siskinpath/core/membership"
)

// Limits of an assignment, so that invalid content can't exhaust the memory.
const (
	maxAssignmentBytes = 1 << 20
	maxMembers         = 4096
	maxOwners          = 65536
)

// assignmentRow is the assignment row as stored by the platform.
type assignmentRow struct {
	epoch   uint64
	value   string
	members []membership.Host
}

// decodeAssignment decodes and validates the value of the assignment row.
func decodeAssignment(epoch uint64, value string) (a membership.Assignment, err error) {
	defer func() { err = errors.WithMessagef(err, "assignment of epoch %d", epoch) }()
	if len(value) > maxAssignmentBytes {
		return a, errors.Errorf("%d bytes long", len(value))
	}
	if err := json.Unmarshal([]byte(value), &a); err != nil {
		return a, err
	}
	a.Epoch = epoch
	return a, checkAssignment(a)
}

func checkAssignment(a membership.Assignment) error {
	if len(a.Members) == 0 || len(a.Members) > maxMembers || len(a.Owners) > maxOwners {
		return errors.Errorf("%d members and %d upstreams", len(a.Members), len(a.Owners))
	}
	ids := map[string]bool{}
	last := ""
	for _, m := range a.Members {
		if m.ID <= last || m.Incarnation == 0 {
			return errors.Errorf("member %q out of order or without incarnation", m.ID)
		}
		if _, err := netip.ParseAddrPort(m.PeerAddress); err != nil {
			return errors.WithMessagef(err, "member %q", m.ID)
		}
		ids[m.ID] = true
		last = m.ID
	}
	for key, owner := range a.Owners {
		if !ids[owner] || !strings.Contains(key, "/") {
			return errors.Errorf("upstream %q is owned by %q", key, owner)
		}
	}
	return nil
}

// recordAssignment stores the row if the view has adopted its epoch. It must be called
// with d.mu held.
func (d *Driver) recordAssignment(row assignmentRow) {
	if d.view.Epoch() == row.epoch {
		d.assignment = row
	}
}

// applyEpoch announces a new epoch and passes the members of its assignment to the
// follower. A process that started during an outage of the platform uses the
// members instead of the list of hosts. It must be called with d.mu held.
func (d *Driver) applyEpoch(now clock.Millis) {
	epoch := d.view.Epoch()
	if epoch == d.count.epoch.Get() {
		return
	}
	d.count.epoch.Set(epoch)
	d.markRightsChanged()
	var members []string
	for _, m := range d.view.State(now).Assignment.Members {
		members = append(members, m.ID)
	}
	d.follower.SetMembers(now, members)
	d.Logger.Info("assignment in force", "epoch", epoch)
}
