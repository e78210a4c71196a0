package faultinjection

import (
	"context"
	"syscall"
	"time"

	"siskinpath/standin/consistency"
	"siskinpath/standin/launch"
)

// frozenFor is longer than any lease of a host.
const frozenFor = 12 * time.Second

// freezeHost stops a host for longer than any lease and wakes it under load.
var freezeHost = Scenario{
	Name:        "freeze_host",
	Description: "a host is frozen for 12 s under load and wakes",
	Run: func(ctx context.Context, t *Trial) error {
		t.loadFor(ctx, 20*time.Second, usualMixes())
		if err := t.freeze(ctx, t.d.EntryHosts[2], nil); err != nil {
			return err
		}
		if err := t.sleep(ctx, 3*time.Second); err != nil {
			return err
		}
		calm := time.Now()
		t.waitLoad()
		t.expectServed("after", calm, time.Now(), 0.95)
		return nil
	},
}

// freezeLeaving marks an upstream as leaving while a host is frozen. The host
// must not send new work there when it wakes.
var freezeLeaving = Scenario{
	Name:        "freeze_leaving",
	Description: "an upstream is marked as leaving while a host is frozen; the host wakes",
	Run: func(ctx context.Context, t *Trial) error {
		t.loadFor(ctx, 18*time.Second, usualMixes())
		return t.freeze(ctx, t.d.EntryHosts[2], func() error {
			for _, u := range []string{"booking-01", "booking-02", "booking-05", "booking-08"} {
				if _, err := t.edit(u, func(r *launch.UpstreamRow) { r.Leaving = true }); err != nil {
					return err
				}
				t.marks = append(t.marks, consistency.LeavingMark{Upstream: u, UnixMs: time.Now().UnixMilli()})
			}
			return nil
		})
	},
}

// freeze stops h for frozenFor, does meanwhile, and wakes h.
func (t *Trial) freeze(ctx context.Context, h *launch.EntryHost, meanwhile func() error) error {
	if err := t.sleep(ctx, 2*time.Second); err != nil {
		return err
	}
	t.say("%s frozen", h.ID)
	if err := h.Process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	defer func() { _ = h.Process.Signal(syscall.SIGCONT) }()
	if err := t.sleep(ctx, time.Second); err != nil {
		return err
	}
	if meanwhile != nil {
		if err := meanwhile(); err != nil {
			return err
		}
	}
	if err := t.sleep(ctx, frozenFor-time.Second); err != nil {
		return err
	}
	t.say("%s wakes", h.ID)
	return nil
}
