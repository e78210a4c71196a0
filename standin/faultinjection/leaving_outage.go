package faultinjection

import (
	"context"
	"time"

	"siskinpath/standin/consistency"
	"siskinpath/standin/launch"
	"siskinpath/standin/platform"
)

// leavingOutage makes the platform unavailable shortly after it accepted an edit
// that marks an upstream as leaving.
var leavingOutage = Scenario{
	Name:        "leaving_outage",
	Description: "the platform becomes unavailable right after an upstream was marked as leaving",
	Run: func(ctx context.Context, t *Trial) error {
		t.startLoad(ctx, 12*time.Second, defaultWorkloads())
		if err := t.sleep(ctx, 2*time.Second); err != nil {
			return err
		}
		version, err := t.edit("booking-04", func(u *launch.UpstreamRow) { u.Leaving = true })
		if err != nil {
			return err
		}
		t.marks = append(t.marks, consistency.LeavingMark{Upstream: "booking-04", UnixMs: time.Now().UnixMilli()})
		if err := t.sleep(ctx, editPickupTime); err != nil {
			return err
		}
		t.logf("booking-04 marked as leaving, platform unavailable")
		if err := t.d.SetPlatformFaults(platform.Faults{Outage: platform.OutageRefuse, ListLagMs: listLagMs}); err != nil {
			return err
		}
		t.expectInForce(ctx, t.d.EntryHosts, version)
		t.waitLoad()
		return t.d.SetPlatformFaults(platform.Faults{ListLagMs: listLagMs})
	},
}

// editPickupTime is the time within which at least one host reads an edit from
// the platform. If none had read it, no host could apply it during the outage.
const editPickupTime = 600 * time.Millisecond
