package faultinjection

import (
	"context"
	"syscall"
	"time"

	"siskinpath/standin/caller"
	"siskinpath/standin/launch"
)

// gracefulStop shuts hosts down under load with slow requests.
var gracefulStop = Scenario{
	Name:        "graceful_stop",
	Description: "two hosts are told to stop under load with requests that take 2 s",
	Run: func(ctx context.Context, t *Trial) error {
		mixes := []caller.Mix{
			{Service: "booking", RatePerSecond: 200, OnceShare: 0.4, SlowShare: 0.03, SlowMs: 2000, DeadlineMs: 6000},
			{Service: "payments", RatePerSecond: 30, OnceShare: 0.7, SlowShare: 0.05, SlowMs: 2000, DeadlineMs: 6000},
		}
		began := time.Now()
		t.loadFor(ctx, 20*time.Second, mixes)
		if err := t.sleep(ctx, 3*time.Second); err != nil {
			return err
		}
		slowest := 0.0
		stopped := map[*launch.EntryHost]time.Time{}
		for _, h := range t.d.EntryHosts[1:3] {
			told := time.Now()
			t.say("%s told to stop", h.ID)
			if err := t.d.ChangeHostList("leave", h); err != nil {
				return err
			}
			if err := h.Process.Signal(syscall.SIGTERM); err != nil {
				return err
			}
			ended := h.Process.Wait(stopLimit)
			t.expect(ended, "%s still runs %s after SIGTERM", h.ID, stopLimit)
			if ended {
				t.expect(h.Process.ExitCode() == 0, "%s ended with %d", h.ID, h.Process.ExitCode())
			}
			slowest = max(slowest, time.Since(told).Seconds())
			stopped[h] = told
		}
		t.waitLoad()
		cut := 0
		for h, told := range stopped {
			cut += t.cut(h, told)
		}
		t.figure("cut_in_flight", float64(cut))
		t.figure("stop_seconds_max", float64(int(slowest*100))/100)
		t.expect(cut == 0, "%d requests were cut off", cut)
		t.expectServed("whole", began, time.Now(), 0.99)
		return nil
	},
}

// stopLimit is how long a graceful stop may take.
const stopLimit = 15 * time.Second
