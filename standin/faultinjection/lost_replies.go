package faultinjection

import (
	"context"
	"time"

	"siskinpath/standin/caller"
	"siskinpath/standin/launch"
	"siskinpath/standin/platform"
)

// lowerWeight halves an upstream's weight.
func lowerWeight(u *launch.UpstreamRow) { u.Weight /= 2 }

// lostReplies lets the platform apply writes and lose their replies, under
// requests whose keys need a write.
var lostReplies = Scenario{
	Name:        "lost_replies",
	Description: "30% of the platform's writes are applied and get no reply; keys without a prefix",
	Run: func(ctx context.Context, t *Trial) error {
		mixes := []caller.Mix{
			{Service: "payments", RatePerSecond: 100, OnceShare: 1, Unprefixed: 1, DeadlineMs: deadlineMs},
			{Service: "booking", RatePerSecond: 100, OnceShare: 1, Unprefixed: 0.5, DeadlineMs: deadlineMs},
		}
		began := time.Now()
		if err := t.d.SetPlatformFaults(platform.Faults{LoseReplies: 0.3, ListLagMs: listLagMs}); err != nil {
			return err
		}
		t.loadFor(ctx, 10*time.Second, mixes)
		t.waitLoad()
		share := t.shareAnswered(began, time.Now(), false)
		t.figure("answered_share", float64(int(share*10000))/10000)
		t.expect(share >= 0.9, "%.4f of the requests answered, at least 0.90 expected", share)
		counts, err := t.d.PlatformCounts()
		if err != nil {
			return err
		}
		t.figure("writes", float64(counts.Writes))
		t.figure("writes_without_reply", float64(counts.Lost))
		t.expect(counts.Lost > 0, "no reply of a write was lost")
		return nil
	},
}
