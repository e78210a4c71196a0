package demo

import (
	"context"
	"syscall"
	"time"

	"siskinpath/standin/consistency"
	"siskinpath/standin/launch"
	"siskinpath/standin/platform"
)

// step is an action at a time after the start of the load.
type step struct {
	at time.Duration
	do func(context.Context) error
}

// Upstreams whose table rows are edited.
const (
	loweredUpstream    = "booking-03"
	leavingUpstream    = "booking-07"
	reweightedUpstream = "booking-11"
)

// runTimeline runs the steps in order, each at its time.
func (m *Demo) runTimeline(ctx context.Context) error {
	steps := []step{
		{2 * time.Second, m.lowerLimit},
		{4 * time.Second, m.markLeaving},
		{7 * time.Second, m.killHost},
		{8 * time.Second, m.stopHost},
		{9 * time.Second, m.removeHost},
		{11 * time.Second, m.outage(platform.OutageRefuse)},
		{15 * time.Second, m.outage(platform.OutageSilent)},
		{19 * time.Second, m.outage(platform.OutageNone)},
		{20 * time.Second, m.changeWeight},
	}
	for _, s := range steps {
		if !launch.Sleep(ctx, s.at-time.Since(m.loadStart)) {
			return ctx.Err()
		}
		if err := s.do(ctx); err != nil {
			return err
		}
	}
	return nil
}

// edit changes the row of upstream in the table and waits until the new version is
// in force on every running host.
func (m *Demo) edit(ctx context.Context, upstream string, change func(*launch.UpstreamRow)) (err error) {
	version, err := m.d.WriteTable(m.d.Table.WithUpstream(upstream, change))
	if err != nil {
		return err
	}
	took, ok := launch.WaitInForce(ctx, m.runningHosts(), version, inForceTimeout)
	m.inForceMax = max(m.inForceMax, took)
	if !ok {
		m.lateEdits++
	}
	m.logf("table version %d in force on every host after %d ms: %t", version, took.Milliseconds(), ok)
	return nil
}

// runningHosts returns the hosts that were neither killed nor stopped.
func (m *Demo) runningHosts() []*launch.EntryHost {
	var list []*launch.EntryHost
	for _, h := range m.d.EntryHosts {
		if h != m.killed && h != m.stopped {
			list = append(list, h)
		}
	}
	return list
}

// loweredSlots is the limit of concurrent requests that lowerLimit sets.
const loweredSlots = 2

// drainTime is the time allowed for requests that started under the old limit.
const drainTime = time.Second

func (m *Demo) lowerLimit(ctx context.Context) error {
	m.logf("limit of %s lowered to %d", loweredUpstream, loweredSlots)
	if err := m.edit(ctx, loweredUpstream, func(u *launch.UpstreamRow) { u.Slots = loweredSlots }); err != nil {
		return err
	}
	launch.Sleep(ctx, drainTime)
	return m.d.ChangeUpstream("booking", loweredUpstream, launch.UpstreamChange{Watch: new(loweredSlots)})
}

func (m *Demo) markLeaving(ctx context.Context) error {
	m.logf("%s marked as leaving", leavingUpstream)
	accepted := time.Now().UnixMilli()
	m.marks = append(m.marks, consistency.LeavingMark{Upstream: leavingUpstream, UnixMs: accepted})
	return m.edit(ctx, leavingUpstream, func(u *launch.UpstreamRow) { u.Leaving = true })
}

func (m *Demo) killHost(context.Context) error {
	m.killed = m.d.EntryHosts[4]
	m.logf("host %s killed", m.killed.ID)
	return m.killed.Process.Signal(syscall.SIGKILL)
}

// removeHost removes the killed host from the platform's host list, as the platform
// does when it notices the failure.
func (m *Demo) removeHost(context.Context) error { return m.d.ChangeHostList("remove", m.killed) }

func (m *Demo) stopHost(context.Context) error {
	m.stopped = m.d.EntryHosts[5]
	m.logf("SIGTERM sent to host %s", m.stopped.ID)
	m.stoppedAtMs = time.Now().UnixMilli()
	if err := m.stopped.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return m.d.ChangeHostList("leave", m.stopped)
}

func (m *Demo) outage(o platform.Outage) func(context.Context) error {
	return func(context.Context) error {
		m.logf("platform outage: %s", o)
		return m.d.SetPlatformFaults(platform.Faults{Outage: o, ListLagMs: listLagMs})
	}
}

// changedWeight is the weight that changeWeight sets.
const changedWeight = 50

func (m *Demo) changeWeight(ctx context.Context) error {
	m.logf("weight of %s changed", reweightedUpstream)
	return m.edit(ctx, reweightedUpstream, func(u *launch.UpstreamRow) { u.Weight = changedWeight })
}
