package faultinjection

import (
	"context"
	"time"

	"siskinpath/standin/platform"
)

const outageDuration = 10 * time.Second

// outageRefuse makes the platform refuse connections.
var outageRefuse = Scenario{
	Name:        "outage_refuse",
	Description: "the platform refuses connections for 10 s under load",
	Run: func(ctx context.Context, t *Trial) error {
		return t.outage(ctx, platform.OutageRefuse)
	},
}

// outageSilent makes the platform accept requests without answering them.
var outageSilent = Scenario{
	Name:        "outage_silent",
	Description: "the platform does not answer for 10 s under load",
	Run: func(ctx context.Context, t *Trial) error {
		return t.outage(ctx, platform.OutageSilent)
	},
}

// outage makes the platform unavailable under load. Requests that need no write
// to the platform must still be answered.
func (t *Trial) outage(ctx context.Context, o platform.Outage) error {
	t.startLoad(ctx, outageDuration+5*time.Second, defaultWorkloads())
	if err := t.sleep(ctx, 2*time.Second); err != nil {
		return err
	}
	startedAt := time.Now()
	t.logf("platform outage: %s", o)
	if err := t.d.SetPlatformFaults(platform.Faults{Outage: o, ListLagMs: listLagMs}); err != nil {
		return err
	}
	if err := t.sleep(ctx, outageDuration); err != nil {
		return err
	}
	ended := time.Now()
	t.logf("platform available again")
	if err := t.d.SetPlatformFaults(platform.Faults{ListLagMs: listLagMs}); err != nil {
		return err
	}
	t.waitLoad()
	t.expectAnswered("during", startedAt, ended, 0.99)
	version, err := t.edit("booking-01", halveWeight)
	if err != nil {
		return err
	}
	t.expectInForce(ctx, t.d.EntryHosts, version)
	return nil
}
