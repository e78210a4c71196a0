package faultinjection

import (
	"context"
	"time"

	"siskinpath/standin/launch"
)

// badUpstreams makes five upstreams fail at the same time: two truncate their
// answers, one is slow, one refuses requests and one returns errors at once. All
// five report misleading load.
var badUpstreams = Scenario{
	Name:        "bad_upstreams",
	Description: "upstreams truncate answers, are slow, refuse, return errors and misreport load at once",
	Run: func(ctx context.Context, t *Trial) error {
		t.startLoad(ctx, 10*time.Second, defaultWorkloads())
		if err := t.sleep(ctx, 2*time.Second); err != nil {
			return err
		}
		changes := []struct {
			upstream string
			change   launch.UpstreamChange
		}{
			{"booking-01", launch.UpstreamChange{CutAnswers: new(0.2), LoadMisleads: new(true)}},
			{"booking-02", launch.UpstreamChange{CutAnswers: new(0.2), LoadMisleads: new(true)}},
			{"booking-03", launch.UpstreamChange{SlowFactor: new(8.0), SlowForMs: new(int64(4000)), LoadMisleads: new(true)}},
			{"booking-04", launch.UpstreamChange{FailFast: new("refuse"), LoadMisleads: new(true)}},
			{"booking-05", launch.UpstreamChange{FailFast: new("error"), LoadMisleads: new(true)}},
		}
		for _, c := range changes {
			if err := t.d.ChangeUpstream("booking", c.upstream, c.change); err != nil {
				return err
			}
		}
		t.logf("5 of 9 upstreams of booking are faulty")
		startedAt := time.Now()
		t.waitLoad()
		t.expectAnswered("during", startedAt, time.Now(), 0.9)
		return nil
	},
}
