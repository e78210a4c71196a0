package faultinjection

import (
	"context"
	"syscall"
	"time"

	"siskinpath/standin/caller"
	"siskinpath/standin/launch"
)

// gracefulStop shuts two hosts down, one after the other, under load that
// includes slow requests.
var gracefulStop = Scenario{
	Name:        "graceful_stop",
	Description: "two hosts get SIGTERM under load with requests that take 2 s",
	Run: func(ctx context.Context, t *Trial) error {
		workloads := []caller.Workload{
			{Service: "booking", RatePerSecond: 200, OnceShare: 0.4, SlowShare: 0.03, SlowMs: 2000, DeadlineMs: 6000},
			{Service: "payments", RatePerSecond: 30, OnceShare: 0.7, SlowShare: 0.05, SlowMs: 2000, DeadlineMs: 6000},
		}
		startedAt := time.Now()
		t.startLoad(ctx, 20*time.Second, workloads)
		if err := t.sleep(ctx, 3*time.Second); err != nil {
			return err
		}
		slowest := 0.0
		stopped := map[*launch.EntryHost]time.Time{}
		for _, h := range t.d.EntryHosts[1:3] {
			sigtermAt := time.Now()
			t.logf("SIGTERM sent to %s", h.ID)
			if err := t.d.ChangeHostList("leave", h); err != nil {
				return err
			}
			if err := h.Process.Signal(syscall.SIGTERM); err != nil {
				return err
			}
			ended := h.Process.Wait(stopTimeout)
			t.expect(ended, "%s still running %s after SIGTERM", h.ID, stopTimeout)
			if ended {
				t.expect(h.Process.ExitCode() == 0, "%s exited with code %d", h.ID, h.Process.ExitCode())
			}
			slowest = max(slowest, time.Since(sigtermAt).Seconds())
			stopped[h] = sigtermAt
		}
		t.waitLoad()
		cut := 0
		for h, sigtermAt := range stopped {
			cut += t.cutRequests(h, sigtermAt)
		}
		t.record("cut_in_flight", float64(cut))
		t.record("stop_seconds_max", float64(int(slowest*100))/100)
		t.expect(cut == 0, "%d requests got no response from a stopping host", cut)
		t.expectAnswered("whole", startedAt, time.Now(), 0.99)
		return nil
	},
}

// stopTimeout is how long a graceful stop may take.
const stopTimeout = 15 * time.Second
