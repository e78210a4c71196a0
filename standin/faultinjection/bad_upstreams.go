package faultinjection

import (
	"context"
	"time"

	"siskinpath/standin/launch"
)

// badUpstreams lets upstreams misbehave at once: answers end in the middle, one
// is slow, one fails fast, one refuses, all reports of load mislead.
var badUpstreams = Scenario{
	Name:        "bad_upstreams",
	Description: "upstreams cut answers, straggle, fail fast, refuse and mislead at once",
	Run: func(ctx context.Context, t *Trial) error {
		t.loadFor(ctx, 10*time.Second, usualMixes())
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
		t.say("5 of 9 upstreams of booking misbehave")
		began := time.Now()
		t.waitLoad()
		t.expectServed("during", began, time.Now(), 0.9)
		return nil
	},
}
