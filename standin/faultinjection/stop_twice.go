package faultinjection

import (
	"context"
	"syscall"
	"time"
)

// stopTwice sends a second SIGTERM during a graceful stop; the host must exit
// without waiting for its requests.
var stopTwice = Scenario{
	Name:        "stop_twice",
	Description: "a host gets SIGTERM twice under load and exits at the second",
	Run: func(ctx context.Context, t *Trial) error {
		t.startLoad(ctx, 8*time.Second, defaultWorkloads())
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
		t.expect(!h.Process.Wait(0), "%s exited within 1 s of the first SIGTERM", h.ID)
		second := time.Now()
		if err := h.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		ended := h.Process.Wait(secondSigtermTimeout)
		t.expect(ended, "%s still running %s after the second SIGTERM", h.ID, secondSigtermTimeout)
		t.record("end_ms", float64(time.Since(second).Milliseconds()))
		if ended {
			t.logf("%s exited with code %d", h.ID, h.Process.ExitCode())
		}
		t.waitLoad()
		return nil
	},
}

// secondSigtermTimeout is how long a host may take to exit after the second SIGTERM.
const secondSigtermTimeout = 2 * time.Second
