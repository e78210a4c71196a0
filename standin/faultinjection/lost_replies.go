package faultinjection

import (
	"context"
	"time"

	"siskinpath/standin/caller"
	"siskinpath/standin/launch"
	"siskinpath/standin/platform"
)

// halveWeight halves an upstream's weight.
func halveWeight(u *launch.UpstreamRow) { u.Weight /= 2 }

// lostReplies makes the platform apply writes without replying, under load whose
// idempotency keys need a write.
var lostReplies = Scenario{
	Name:        "lost_replies",
	Description: "30% of the platform's writes are applied without a reply; keys have no host prefix",
	Run: func(ctx context.Context, t *Trial) error {
		workloads := []caller.Workload{
			{Service: "payments", RatePerSecond: 100, OnceShare: 1, UnprefixedShare: 1, DeadlineMs: deadlineMs},
			{Service: "booking", RatePerSecond: 100, OnceShare: 1, UnprefixedShare: 0.5, DeadlineMs: deadlineMs},
		}
		startedAt := time.Now()
		if err := t.d.SetPlatformFaults(platform.Faults{LoseReplies: 0.3, ListLagMs: listLagMs}); err != nil {
			return err
		}
		t.startLoad(ctx, 10*time.Second, workloads)
		t.waitLoad()
		share := t.answeredShare(startedAt, time.Now(), false)
		t.record("answered_share", float64(int(share*10000))/10000)
		t.expect(share >= 0.9, "%.4f of the requests answered, at least 0.90 expected", share)
		counts, err := t.d.PlatformCounts()
		if err != nil {
			return err
		}
		t.record("writes", float64(counts.Writes))
		t.record("writes_without_reply", float64(counts.Lost))
		t.expect(counts.Lost > 0, "the platform replied to every write")
		return nil
	},
}
