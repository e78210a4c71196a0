package faultinjection

import (
	"context"
	"time"

	"siskinpath/standin/launch"
	"siskinpath/standin/upstream"
)

// closedPorts closes the ports of one service's upstreams, their connections
// included, and opens them again. The other service goes on.
var closedPorts = Scenario{
	Name:        "closed_ports",
	Description: "all upstreams of payments refuse connections for 4 s; booking goes on",
	Run: func(ctx context.Context, t *Trial) error {
		t.loadFor(ctx, 14*time.Second, usualMixes())
		if err := t.sleep(ctx, 2*time.Second); err != nil {
			return err
		}
		t.say("ports of payments closed")
		if err := t.d.ChangeUpstream("payments", upstream.All, launch.UpstreamChange{Closed: new(true)}); err != nil {
			return err
		}
		if err := t.sleep(ctx, 4*time.Second); err != nil {
			return err
		}
		t.say("ports of payments open again")
		if err := t.d.ChangeUpstream("payments", upstream.All, launch.UpstreamChange{Closed: new(false)}); err != nil {
			return err
		}
		if err := t.sleep(ctx, 4*time.Second); err != nil {
			return err
		}
		calm := time.Now()
		t.waitLoad()
		t.expectServed("after", calm, time.Now(), 0.95)
		return nil
	},
}
