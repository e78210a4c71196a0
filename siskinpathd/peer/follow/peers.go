package follow

import (
	"github.com/pkg/errors"

	"siskinpath/core/clock"
	"siskinpath/core/membership"
	"siskinpath/siskinpathd/peer"
)

// HandleHeartbeat takes a heartbeat of another host; it is the link's OnHeartbeat.
func (d *Driver) HandleHeartbeat(hb membership.Heartbeat) {
	d.do(func(now clock.Millis) []membership.Action {
		d.told(hb.From)
		d.follower.VersionReported(now, hb.From.ID, hb.TableVersion)
		for i := range hb.Gossip {
			d.follower.VersionRelayed(hb.Gossip[i].TableVersion)
		}
		return d.view.HandleHeartbeat(now, hb)
	})
}

// HandleDeath takes proof of a death; it is the link's OnDeath.
func (d *Driver) HandleDeath(death membership.Death) {
	d.do(func(now clock.Millis) []membership.Action { return d.view.HandleDeath(now, death) })
}

// CopiesNewerThan gives what is newer here; it is the link's OnFetch.
func (d *Driver) CopiesNewerThan(tableVersion, epoch uint64) (c peer.RowCopies) {
	d.once.Do(d.start)
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

// HandleTableCopy takes a copy of the table row; it is the link's OnTableCopy.
func (d *Driver) HandleTableCopy(hostID string, version uint64, value []byte) {
	d.do(func(now clock.Millis) []membership.Action {
		d.refused(d.follower.CopyReceived(now, hostID, version, string(value)))
		return nil
	})
}

// HandleAssignmentCopy takes a copy of the assignment; it is the link's OnAssignmentCopy.
func (d *Driver) HandleAssignmentCopy(hostID string, epoch uint64, value []byte) {
	a, err := decodeAssignment(epoch, string(value))
	row := assignmentRow{epoch: epoch, value: string(value), members: a.Members}
	d.do(func(now clock.Millis) []membership.Action {
		if err != nil {
			d.refused(errors.WithMessagef(err, "host %s", hostID))
			return nil
		}
		actions := d.view.HandlePeerAssignment(now, a)
		d.taken(row)
		return actions
	})
}
