package faultinjection

import (
	"context"
	"time"

	"siskinpath/standin/launch"
	"siskinpath/standin/upstream"
)

// closedPorts closes the listeners and connections of one service's upstreams for
// 4 s and reopens them. The other service must not be affected.
var closedPorts = Scenario{
	Name:        "closed_ports",
	Description: "all upstreams of payments refuse connections for 4 s; booking continues",
	Run: func(ctx context.Context, t *Trial) error {
		t.startLoad(ctx, 14*time.Second, defaultWorkloads())
		if err := t.sleep(ctx, 2*time.Second); err != nil {
			return err
		}
		t.logf("ports of payments closed")
		if err := t.d.ChangeUpstream("payments", upstream.All, launch.UpstreamChange{Closed: new(true)}); err != nil {
			return err
		}
		if err := t.sleep(ctx, 4*time.Second); err != nil {
			return err
		}
		t.logf("ports of payments open again")
		if err := t.d.ChangeUpstream("payments", upstream.All, launch.UpstreamChange{Closed: new(false)}); err != nil {
			return err
		}
		if err := t.sleep(ctx, 4*time.Second); err != nil {
			return err
		}
		recoveredAt := time.Now()
		t.waitLoad()
		t.expectAnswered("after", recoveredAt, time.Now(), 0.95)
		return nil
	},
}
