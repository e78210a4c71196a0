package faultinjection

import (
	"context"
	"time"

	"siskinpath/standin/platform"
)

// outageFor is how long the platform is away.
const outageFor = 10 * time.Second

// outageRefuse takes the platform away: it refuses connections.
var outageRefuse = Scenario{
	Name:        "outage_refuse",
	Description: "the platform refuses connections for 10 s under load",
	Run: func(ctx context.Context, t *Trial) error {
		return t.outage(ctx, platform.OutageRefuse)
	},
}

// outageSilent takes the platform away: it answers nothing.
var outageSilent = Scenario{
	Name:        "outage_silent",
	Description: "the platform answers nothing for 10 s under load",
	Run: func(ctx context.Context, t *Trial) error {
		return t.outage(ctx, platform.OutageSilent)
	},
}

// outage takes the platform away under load. What needs no write goes on.
func (t *Trial) outage(ctx context.Context, o platform.Outage) error {
	t.loadFor(ctx, outageFor+5*time.Second, usualMixes())
	if err := t.sleep(ctx, 2*time.Second); err != nil {
		return err
	}
	began := time.Now()
	t.say("outage: %s", o)
	if err := t.d.SetPlatformFaults(platform.Faults{Outage: o, ListLagMs: listLagMs}); err != nil {
		return err
	}
	if err := t.sleep(ctx, outageFor); err != nil {
		return err
	}
	ended := time.Now()
	t.say("the platform is back")
	if err := t.d.SetPlatformFaults(platform.Faults{ListLagMs: listLagMs}); err != nil {
		return err
	}
	t.waitLoad()
	t.expectServed("during", began, ended, 0.99)
	version, err := t.edit("booking-01", lowerWeight)
	if err != nil {
		return err
	}
	t.expectInForce(ctx, t.d.EntryHosts, version)
	return nil
}
