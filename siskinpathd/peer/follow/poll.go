package follow

import (
	"context"

	"github.com/pkg/errors"

	"siskinpath/core/clock"
	"siskinpath/core/membership"
	"siskinpath/core/table"
	"siskinpath/siskinpathd/platform"
)

// assignmentKey is the key of the assignment row in the table service.
const assignmentKey = "assignment"

// platformState is the result of the last read of the platform.
type platformState struct {
	polled      bool
	failure     error  // error of the last read; nil if it succeeded
	lastRefusal string // last error about invalid content, so that it is logged once

	// refusedTable and refusedEpoch are versions with invalid content. They are not
	// read again.
	refusedTable, refusedEpoch uint64
}

func (p platformState) reachable() bool { return p.polled && p.failure == nil }

// pollRows polls the platform for a newer table and assignment until ctx is done.
func (d *Driver) pollRows(ctx context.Context) {
	for ctx.Err() == nil {
		err := d.readRows(ctx)
		if ctx.Err() != nil {
			return
		}
		d.recordPoll(err)
		sleep(ctx, d.pollNow, d.jitter(d.PollInterval))
	}
}

// pollResult is the result of one poll of the platform.
type pollResult struct {
	started        clock.Millis
	table          platform.Row
	assignment     platform.Row
	tableRead      bool // table has its value as well as its version
	assignmentRead bool
}

// readRows reads the versions of the rows, reads the rows that have changed and passes
// the result to the state machines.
func (d *Driver) readRows(ctx context.Context) error {
	found := pollResult{started: d.Clock.Now()}
	rows, err := d.Platform.ReadVersions(ctx, table.RowKey, assignmentKey)
	if err != nil {
		return err
	}
	found.table, found.assignment = rows[0], rows[1]
	if keys := d.changedRows(found); len(keys) > 0 {
		if rows, err = d.Platform.Read(ctx, keys...); err != nil {
			return err
		}
		found.setRows(rows)
	}
	d.handle(func(now clock.Millis) []membership.Action { return d.handlePoll(now, found) })
	return nil
}

// setRows replaces rows of which only the version was read with the full rows.
func (r *pollResult) setRows(rows []platform.Row) {
	for _, row := range rows {
		switch row.Key {
		case table.RowKey:
			r.table, r.tableRead = row, true
		case assignmentKey:
			r.assignment, r.assignmentRead = row, true
		}
	}
}

// changedRows returns the keys of the rows that are newer than those in force and were
// not refused before.
func (d *Driver) changedRows(r pollResult) (keys []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.table.Version > d.follower.Version() && r.table.Version != d.platform.refusedTable {
		keys = append(keys, table.RowKey)
	}
	if r.assignment.Version > d.view.Epoch() && r.assignment.Version != d.platform.refusedEpoch {
		keys = append(keys, assignmentKey)
	}
	return keys
}

// handlePoll passes the result of a poll to the state machines. An assignment that was
// not read or is invalid does not count as a read of the platform and so renews no
// right. It must be called with d.mu held.
func (d *Driver) handlePoll(now clock.Millis, r pollResult) []membership.Action {
	d.handleTable(now, r)
	switch {
	case r.assignment.Version <= d.view.Epoch():
		return d.view.HandlePlatformAssignment(now, r.started, membership.Assignment{Epoch: r.assignment.Version})
	case !r.assignmentRead:
		return nil
	}
	a, err := decodeAssignment(r.assignment.Version, r.assignment.Value)
	if err != nil {
		d.platform.refusedEpoch = r.assignment.Version
		d.recordRefusal(errors.WithMessage(err, "platform"))
		return nil
	}
	actions := d.view.HandlePlatformAssignment(now, r.started, a)
	d.recordAssignment(assignmentRow{epoch: a.Epoch, value: r.assignment.Value, members: a.Members})
	return actions
}

func (d *Driver) handleTable(now clock.Millis, r pollResult) {
	valueKnown := r.tableRead || r.table.Version == 0
	err := d.follower.PlatformRead(now, r.table.Version, r.table.Value, valueKnown)
	if err != nil && r.tableRead {
		d.platform.refusedTable = r.table.Version
	}
	d.recordRefusal(err)
}

// recordRefusal counts an error about invalid content and logs it unless it equals the
// last one. It must be called with d.mu held.
func (d *Driver) recordRefusal(err error) {
	if err == nil {
		return
	}
	d.count.refused.Inc()
	if text := err.Error(); text != d.platform.lastRefusal {
		d.platform.lastRefusal = text
		d.Logger.Warn("refused", "error", text)
	}
}

// recordPoll stores the result of a poll and logs when the platform becomes unreadable
// or readable again.
func (d *Driver) recordPoll(err error) {
	d.mu.Lock()
	before := d.platform
	d.platform.polled, d.platform.failure = true, err
	d.mu.Unlock()
	switch {
	case err != nil:
		d.count.pollFailures.Inc()
		d.count.platformReachable.Set(0)
		if before.failure == nil {
			d.Logger.Warn("platform can't be read; continuing without it", "error", err.Error())
		}
	default:
		d.count.platformReachable.Set(1)
		if !before.polled || before.failure != nil {
			d.Logger.Info("platform can be read")
		}
	}
}

// pollHosts reads the list of hosts at intervals until ctx is done. A long list is read
// less often, because new hosts contact the listed hosts themselves.
func (d *Driver) pollHosts(ctx context.Context) {
	pause := minHostsInterval
	for ctx.Err() == nil {
		hosts, err := d.Platform.Hosts(ctx)
		if err == nil {
			d.handleHosts(hosts)
			pause = max(minHostsInterval, clock.Millis(len(hosts))*hostsIntervalPerHost)
		}
		sleep(ctx, nil, d.jitter(pause))
	}
}

func (d *Driver) handleHosts(hosts []membership.ListedHost) {
	ids := make([]string, len(hosts))
	for i, h := range hosts {
		ids[i] = h.ID
	}
	d.handle(func(now clock.Millis) []membership.Action {
		d.follower.SetListedHosts(ids)
		return d.view.HandleHostList(now, hosts)
	})
	var known []string
	for _, s := range d.Status() {
		known = append(known, s.ID)
	}
	d.pruneAddresses(known)
	d.Transport.RetainHosts(known)
}

// jitter varies a span at random, so that hosts started together do not poll at the
// same times.
func (d *Driver) jitter(span clock.Millis) clock.Millis {
	d.mu.Lock()
	defer d.mu.Unlock()
	maxOffset := int64(span / jitterDivisor)
	return span - clock.Millis(maxOffset) + clock.Millis(d.Rand.Int64N(2*maxOffset+1))
}
