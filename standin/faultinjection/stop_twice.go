package faultinjection

import (
	"context"
	"syscall"
	"time"
)

// stopTwice sends SIGTERM a second time; the host ends at once.
var stopTwice = Scenario{
	Name:        "stop_twice",
	Description: "a host gets SIGTERM twice under load and ends at the second",
	Run: func(ctx context.Context, t *Trial) error {
		t.loadFor(ctx, 8*time.Second, usualMixes())
		if err := t.sleep(ctx, 2*time.Second); err != nil {
			return err
		}
		h := t.d.EntryHosts[0]
		if err := h.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		if err := t.sleep(ctx, time.Second); err != nil {
			return err
		}
		t.expect(!h.Process.Wait(0), "%s ended within a second of the first SIGTERM", h.ID)
		second := time.Now()
		if err := h.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		ended := h.Process.Wait(secondLimit)
		t.expect(ended, "%s still runs %s after the second SIGTERM", h.ID, secondLimit)
		t.figure("end_ms", float64(time.Since(second).Milliseconds()))
		if ended {
			t.say("%s ended with %d", h.ID, h.Process.ExitCode())
		}
		t.waitLoad()
		return nil
	},
}

// secondLimit is how long a host may take to end after the second SIGTERM.
const secondLimit = 2 * time.Second
