package follow

import (
	"github.com/pkg/errors"

	"siskinpath/core/clock"
	"siskinpath/core/membership"
	"siskinpath/siskinpathd/peer"
)

// HandleHeartbeat handles a heartbeat of another host. It serves as OnHeartbeat of
// peer.Transport.
func (d *Driver) HandleHeartbeat(hb membership.Heartbeat) {
	d.handle(func(now clock.Millis) []membership.Action {
		d.recordAddress(hb.From)
		d.follower.VersionReported(now, hb.From.ID, hb.TableVersion)
		for i := range hb.Gossip {
			d.follower.VersionRelayed(hb.Gossip[i].TableVersion)
		}
		return d.view.HandleHeartbeat(now, hb)
	})
}

// HandleDeath handles proof that an incarnation is dead. It serves as OnDeath of
// peer.Transport.
func (d *Driver) HandleDeath(death membership.Death) {
	d.handle(func(now clock.Millis) []membership.Action { return d.view.HandleDeath(now, death) })
}

// CopiesNewerThan returns the rows of this host that are newer than the given
// versions. It serves as OnFetch of peer.Transport.
func (d *Driver) CopiesNewerThan(tableVersion, epoch uint64) (c peer.RowCopies) {
	d.once.Do(d.setDefaults)
	d.mu.Lock()
	defer d.mu.Unlock()
	if version, value := d.follower.Row(); version > tableVersion {
		c.TableVersion, c.Table = version, []byte(value)
	}
	if d.assignment.epoch > epoch {
		c.Epoch, c.Assignment = d.assignment.epoch, []byte(d.assignment.value)
	}
	return c
}

// HandleTableCopy handles a copy of the table row. It serves as OnTableCopy of
// peer.Transport.
func (d *Driver) HandleTableCopy(hostID string, version uint64, value []byte) {
	d.handle(func(now clock.Millis) []membership.Action {
		d.recordRefusal(d.follower.CopyReceived(now, hostID, version, string(value)))
		return nil
	})
}

// HandleAssignmentCopy handles a copy of the assignment row. It serves as
// OnAssignmentCopy of peer.Transport.
func (d *Driver) HandleAssignmentCopy(hostID string, epoch uint64, value []byte) {
	a, err := decodeAssignment(epoch, string(value))
	row := assignmentRow{epoch: epoch, value: string(value), members: a.Members}
	d.handle(func(now clock.Millis) []membership.Action {
		if err != nil {
			d.recordRefusal(errors.WithMessagef(err, "host %s", hostID))
			return nil
		}
		actions := d.view.HandlePeerAssignment(now, a)
		d.recordAssignment(row)
		return actions
	})
}
