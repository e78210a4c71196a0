package demo

import (
	"context"
	"syscall"
	"time"

	"siskinpath/standin/consistency"
	"siskinpath/standin/launch"
	"siskinpath/standin/platform"
)

// step is something that happens at a time after the load began.
type step struct {
	at time.Duration
	do func(context.Context) error
}

// Upstreams that the table's edits concern.
const (
	loweredUpstream = "booking-03"
	leavingUpstream = "booking-07"
	weighedUpstream = "booking-11"
)

// play carries out the steps in order.
func (m *Demo) play(ctx context.Context) error {
	steps := []step{
		{2 * time.Second, m.lowerLimit},
		{4 * time.Second, m.markLeaving},
		{7 * time.Second, m.killHost},
		{8 * time.Second, m.stopHost},
		{9 * time.Second, m.forgetHost},
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

// edit writes the table with one row changed and waits until it is in force on
// every host that runs.
func (m *Demo) edit(ctx context.Context, upstream string, change func(*launch.UpstreamRow)) (err error) {
	version, err := m.d.WriteTable(m.d.Table.WithUpstream(upstream, change))
	if err != nil {
		return err
	}
	took, ok := launch.WaitInForce(ctx, m.serving(), version, inForceLimit)
	m.inForce = max(m.inForce, took)
	if !ok {
		m.late++
	}
	m.say("table version %d in force on every host after %d ms: %t", version, took.Milliseconds(), ok)
	return nil
}

// serving returns the hosts that were neither killed nor told to stop.
func (m *Demo) serving() []*launch.EntryHost {
	var list []*launch.EntryHost
	for _, h := range m.d.EntryHosts {
		if h != m.killed && h != m.stopped {
			list = append(list, h)
		}
	}
	return list
}

// loweredSlots is the limit that lowerLimit sets.
const loweredSlots = 2

// settleTime is how long requests that began under the old limit may take.
const settleTime = time.Second

func (m *Demo) lowerLimit(ctx context.Context) error {
	m.say("limit of %s lowered to %d", loweredUpstream, loweredSlots)
	if err := m.edit(ctx, loweredUpstream, func(u *launch.UpstreamRow) { u.Slots = loweredSlots }); err != nil {
		return err
	}
	launch.Sleep(ctx, settleTime)
	return m.d.ChangeUpstream("booking", loweredUpstream, launch.UpstreamChange{Watch: new(loweredSlots)})
}

func (m *Demo) markLeaving(ctx context.Context) error {
	m.say("%s marked as leaving", leavingUpstream)
	accepted := time.Now().UnixMilli()
	m.marks = append(m.marks, consistency.LeavingMark{Upstream: leavingUpstream, UnixMs: accepted})
	return m.edit(ctx, leavingUpstream, func(u *launch.UpstreamRow) { u.Leaving = true })
}

func (m *Demo) killHost(context.Context) error {
	m.killed = m.d.EntryHosts[4]
	m.say("host %s killed", m.killed.ID)
	return m.killed.Process.Signal(syscall.SIGKILL)
}

// forgetHost is the platform noticing the killed host.
func (m *Demo) forgetHost(context.Context) error { return m.d.ChangeHostList("remove", m.killed) }

func (m *Demo) stopHost(context.Context) error {
	m.stopped = m.d.EntryHosts[5]
	m.say("host %s told to stop", m.stopped.ID)
	m.stoppedAt = time.Now().UnixMilli()
	if err := m.stopped.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return m.d.ChangeHostList("leave", m.stopped)
}

func (m *Demo) outage(o platform.Outage) func(context.Context) error {
	return func(context.Context) error {
		m.say("platform outage: %s", o)
		return m.d.SetPlatformFaults(platform.Faults{Outage: o, ListLagMs: listLagMs})
	}
}

// changedWeight is the weight that changeWeight sets.
const changedWeight = 50

func (m *Demo) changeWeight(ctx context.Context) error {
	m.say("weight of %s changed", weighedUpstream)
	return m.edit(ctx, weighedUpstream, func(u *launch.UpstreamRow) { u.Weight = changedWeight })
}
