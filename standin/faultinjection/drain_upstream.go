package faultinjection

import (
	"context"
	"time"

	"siskinpath/standin/launch"
)

// drainUpstream makes upstreams drain under load without a table edit.
var drainUpstream = Scenario{
	Name:        "drain_upstream",
	Description: "three upstreams of booking drain under load without an edit",
	Run: func(ctx context.Context, t *Trial) error {
		startedAt := time.Now()
		t.startLoad(ctx, 8*time.Second, defaultWorkloads())
		if err := t.sleep(ctx, 2*time.Second); err != nil {
			return err
		}
		names := []string{"booking-02", "booking-05", "booking-07"}
		for _, u := range names {
			if err := t.d.ChangeUpstream("booking", u, launch.UpstreamChange{Draining: new(true)}); err != nil {
				return err
			}
		}
		t.logf("%v are draining", names)
		if err := t.sleep(ctx, 3*time.Second); err != nil {
			return err
		}
		before, err := t.refusedBy(names)
		if err != nil {
			return err
		}
		t.waitLoad()
		after, err := t.refusedBy(names)
		if err != nil {
			return err
		}
		t.record("refused_at_first", before)
		t.record("refused_after_3_s", after-before)
		t.expectAnswered("whole", startedAt, time.Now(), 0.99)
		return nil
	},
}

// refusedBy returns the number of requests that the named upstreams of booking
// have refused.
func (t *Trial) refusedBy(names []string) (refused float64, err error) {
	counts, err := t.d.Counts("booking")
	if err != nil {
		return 0, err
	}
	for _, n := range names {
		refused += float64(counts.Upstreams[n].Refused)
	}
	return refused, nil
}
