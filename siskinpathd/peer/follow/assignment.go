package follow

import (
	"encoding/json"
	"net/netip"
	"strings"

	"github.com/pkg/errors"

	"siskinpath/core/clock"
	"siskinpath/core/membership"
)

// Bounds of an assignment, so that garbage can't fill the memory.
const (
	maxAssignmentBytes = 1 << 20
	maxMembers         = 4096
	maxOwners          = 65536
)

// assignmentRow is the row as the platform holds it.
type assignmentRow struct {
	epoch   uint64
	value   string
	members []membership.Host
}

// decodeAssignment reads and checks the row's value.
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

// taken notes the row when the view has taken its epoch. Called with d.mu held.
func (d *Driver) taken(row assignmentRow) {
	if d.view.Epoch() == row.epoch {
		d.assignment = row
	}
}

// noteEpoch tells of a newer epoch, and the follower of its members: to a process
// that started while the platform was away they stand in for the list of hosts.
// Called with d.mu held.
func (d *Driver) noteEpoch(now clock.Millis) {
	epoch := d.view.Epoch()
	if epoch == d.count.epoch.Get() {
		return
	}
	d.count.epoch.Set(epoch)
	d.changed()
	var members []string
	for _, m := range d.view.State(now).Assignment.Members {
		members = append(members, m.ID)
	}
	d.follower.SetMembers(now, members)
	d.Logger.Info("assignment in force", "epoch", epoch)
}
