package follow

import (
	"context"

	"github.com/pkg/errors"

	"siskinpath/core/clock"
	"siskinpath/core/member"
	"siskinpath/core/table"
	"siskinpath/siskinpathd/platform"
)

// rowAssignment is the key of the assignment in the table service.
const rowAssignment = "assignment"

// platformState is what the last look at the platform found.
type platformState struct {
	tried   bool
	failure error  // of the last look; nil when it was good
	refused string // the last content that could not be taken, to log it once
}

// pollRows looks for a newer table and assignment until ctx is done.
func (d *Driver) pollRows(ctx context.Context) {
	for ctx.Err() == nil {
		err := d.lookAtRows(ctx)
		if ctx.Err() != nil {
			return
		}
		d.notePlatform(err)
		sleep(ctx, d.kick, d.spread(d.PollEvery))
	}
}

// lookAtRows reads the versions, and the rows that have changed.
func (d *Driver) lookAtRows(ctx context.Context) error {
	started := d.Clock.Now()
	rows, err := d.Platform.ReadVersions(ctx, table.RowKey, rowAssignment)
	if err != nil {
		return err
	}
	version, epoch := d.versions()
	if rows[0].Version > version || rows[1].Version > epoch {
		return d.readRows(ctx)
	}
	d.do(func(now clock.Millis) []member.Action {
		d.refused(d.follower.Read(now, rows[0].Version, "", rows[0].Version == 0))
		return d.view.AssignmentRead(now, started, member.Assignment{Epoch: rows[1].Version})
	})
	return nil
}

// versions gives what is in force.
func (d *Driver) versions() (version, epoch uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.follower.Version(), d.view.Epoch()
}

// readRows reads both rows whole.
func (d *Driver) readRows(ctx context.Context) error {
	started := d.Clock.Now()
	rows, err := d.Platform.Read(ctx, table.RowKey, rowAssignment)
	if err != nil {
		return err
	}
	d.do(func(now clock.Millis) []member.Action {
		d.refused(d.follower.Read(now, rows[0].Version, rows[0].Value, true))
		return d.takeAssignment(now, started, rows[1])
	})
	return nil
}

// takeAssignment hands a row just read to the view. A row that can't be read
// renews nothing. Called with d.mu held.
func (d *Driver) takeAssignment(now, started clock.Millis, row platform.Row) []member.Action {
	if row.Version <= d.view.Epoch() {
		return d.view.AssignmentRead(now, started, member.Assignment{Epoch: row.Version})
	}
	a, err := decodeAssignment(row.Version, row.Value)
	if err != nil {
		d.refused(errors.WithMessage(err, "platform"))
		return nil
	}
	actions := d.view.AssignmentRead(now, started, a)
	d.taken(assignmentRow{epoch: row.Version, value: row.Value, members: a.Members})
	return actions
}

// refused counts content that could not be taken, and logs it when it is new.
// Called with d.mu held.
func (d *Driver) refused(err error) {
	if err == nil {
		return
	}
	d.count.refused.Inc()
	if text := err.Error(); text != d.platform.refused {
		d.platform.refused = text
		d.Logger.Warn("refused", "error", text)
	}
}

// notePlatform logs when the platform goes and when it comes back.
func (d *Driver) notePlatform(err error) {
	d.mu.Lock()
	before := d.platform
	d.platform.tried, d.platform.failure = true, err
	d.mu.Unlock()
	switch {
	case err != nil:
		d.count.pollFailures.Inc()
		d.count.platformReachable.Set(0)
		if before.failure == nil {
			d.Logger.Warn("platform can't be read; going on without", "error", err.Error())
		}
	default:
		d.count.platformReachable.Set(1)
		if !before.tried || before.failure != nil {
			d.Logger.Info("platform can be read")
		}
	}
}

// pollHosts reads the list of hosts until ctx is done. A long list is read less
// often: new hosts make themselves known to those listed anyway.
func (d *Driver) pollHosts(ctx context.Context) {
	pause := hostsEvery
	for ctx.Err() == nil {
		hosts, err := d.Platform.Hosts(ctx)
		if err == nil {
			d.takeHosts(hosts)
			pause = max(hostsEvery, clock.Millis(len(hosts))*hostsPart)
		}
		sleep(ctx, nil, d.spread(pause))
	}
}

func (d *Driver) takeHosts(hosts []member.ListedHost) {
	ids := make([]string, len(hosts))
	for i, h := range hosts {
		ids[i] = h.ID
	}
	d.do(func(now clock.Millis) []member.Action {
		d.follower.Listed(ids)
		return d.view.HostList(now, hosts)
	})
	var known []string
	for _, s := range d.Status() {
		known = append(known, s.ID)
	}
	d.Link.Keep(known)
}

// spread varies a span, so that hosts started together don't stay in step.
func (d *Driver) spread(span clock.Millis) clock.Millis {
	d.mu.Lock()
	defer d.mu.Unlock()
	part := int64(span / jitterPart)
	return span - clock.Millis(part) + clock.Millis(d.Rand.Int64N(2*part+1))
}
