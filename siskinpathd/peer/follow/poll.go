package follow

import (
	"context"

	"github.com/pkg/errors"

	"siskinpath/core/clock"
	"siskinpath/core/membership"
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

	// Versions that could not be taken, so as not to read them again.
	refusedTable, refusedEpoch uint64
}

func (p platformState) reachable() bool { return p.tried && p.failure == nil }

// pollRows looks for a newer table and assignment until ctx is done.
func (d *Driver) pollRows(ctx context.Context) {
	for ctx.Err() == nil {
		err := d.lookAtRows(ctx)
		if ctx.Err() != nil {
			return
		}
		d.notePlatform(err)
		sleep(ctx, d.kick, d.spread(d.PollInterval))
	}
}

// look is what one look at the platform found.
type look struct {
	started        clock.Millis
	table          platform.Row
	assignment     platform.Row
	tableRead      bool // table has its value, not only its version
	assignmentRead bool
}

// lookAtRows reads the versions, and the rows that have changed.
func (d *Driver) lookAtRows(ctx context.Context) error {
	found := look{started: d.Clock.Now()}
	rows, err := d.Platform.ReadVersions(ctx, table.RowKey, rowAssignment)
	if err != nil {
		return err
	}
	found.table, found.assignment = rows[0], rows[1]
	if keys := d.changedRows(found); len(keys) > 0 {
		if rows, err = d.Platform.Read(ctx, keys...); err != nil {
			return err
		}
		found.read(rows)
	}
	d.do(func(now clock.Millis) []membership.Action { return d.take(now, found) })
	return nil
}

// read puts rows read whole in place of their versions.
func (l *look) read(rows []platform.Row) {
	for _, row := range rows {
		switch row.Key {
		case table.RowKey:
			l.table, l.tableRead = row, true
		case rowAssignment:
			l.assignment, l.assignmentRead = row, true
		}
	}
}

// changedRows gives the rows worth reading: newer than what is in force, and not
// refused already.
func (d *Driver) changedRows(l look) (keys []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l.table.Version > d.follower.Version() && l.table.Version != d.platform.refusedTable {
		keys = append(keys, table.RowKey)
	}
	if l.assignment.Version > d.view.Epoch() && l.assignment.Version != d.platform.refusedEpoch {
		keys = append(keys, rowAssignment)
	}
	return keys
}

// take hands on what a look found. A row that can't be read renews nothing.
// Called with d.mu held.
func (d *Driver) take(now clock.Millis, l look) []membership.Action {
	d.takeTable(now, l)
	switch {
	case l.assignment.Version <= d.view.Epoch():
		return d.view.HandlePlatformAssignment(now, l.started, membership.Assignment{Epoch: l.assignment.Version})
	case !l.assignmentRead:
		return nil
	}
	a, err := decodeAssignment(l.assignment.Version, l.assignment.Value)
	if err != nil {
		d.platform.refusedEpoch = l.assignment.Version
		d.refused(errors.WithMessage(err, "platform"))
		return nil
	}
	actions := d.view.HandlePlatformAssignment(now, l.started, a)
	d.taken(assignmentRow{epoch: a.Epoch, value: l.assignment.Value, members: a.Members})
	return actions
}

func (d *Driver) takeTable(now clock.Millis, l look) {
	known := l.tableRead || l.table.Version == 0
	err := d.follower.PlatformRead(now, l.table.Version, l.table.Value, known)
	if err != nil && l.tableRead {
		d.platform.refusedTable = l.table.Version
	}
	d.refused(err)
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

func (d *Driver) takeHosts(hosts []membership.ListedHost) {
	ids := make([]string, len(hosts))
	for i, h := range hosts {
		ids[i] = h.ID
	}
	d.do(func(now clock.Millis) []membership.Action {
		d.follower.SetListedHosts(ids)
		return d.view.HandleHostList(now, hosts)
	})
	var known []string
	for _, s := range d.Status() {
		known = append(known, s.ID)
	}
	d.forget(known)
	d.Transport.RetainHosts(known)
}

// spread varies a span, so that hosts started together don't stay in step.
func (d *Driver) spread(span clock.Millis) clock.Millis {
	d.mu.Lock()
	defer d.mu.Unlock()
	part := int64(span / jitterPart)
	return span - clock.Millis(part) + clock.Millis(d.Rand.Int64N(2*part+1))
}
