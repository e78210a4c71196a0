package faultinjection

import (
	"context"
	"time"

	"siskinpath/standin/consistency"
	"siskinpath/standin/launch"
	"siskinpath/standin/platform"
)

// leavingOutage takes the platform away from the moment an edit is accepted.
var leavingOutage = Scenario{
	Name:        "leaving_outage",
	Description: "the platform goes away right after an upstream was marked as leaving",
	Run: func(ctx context.Context, t *Trial) error {
		t.loadFor(ctx, 12*time.Second, usualMixes())
		if err := t.sleep(ctx, 2*time.Second); err != nil {
			return err
		}
		version, err := t.edit("booking-04", func(u *launch.UpstreamRow) { u.Leaving = true })
		if err != nil {
			return err
		}
		t.marks = append(t.marks, consistency.LeavingMark{Upstream: "booking-04", UnixMs: time.Now().UnixMilli()})
		if err := t.sleep(ctx, oneHostKnows); err != nil {
			return err
		}
		t.say("booking-04 leaves, the platform is away")
		if err := t.d.SetPlatformFaults(platform.Faults{Outage: platform.OutageRefuse, ListLagMs: listLagMs}); err != nil {
			return err
		}
		t.expectInForce(ctx, t.d.EntryHosts, version)
		t.waitLoad()
		return t.d.SetPlatformFaults(platform.Faults{ListLagMs: listLagMs})
	},
}

// oneHostKnows is the time in which at least one of the hosts reads the edit.
// With none, nobody could follow it before the platform is back.
const oneHostKnows = 600 * time.Millisecond
