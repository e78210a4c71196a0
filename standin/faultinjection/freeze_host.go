package faultinjection

import (
	"context"
	"syscall"
	"time"

	"siskinpath/standin/consistency"
	"siskinpath/standin/launch"
)

// freezeDuration is longer than any lease that a host holds.
const freezeDuration = 12 * time.Second

// freezeHost suspends a host for longer than any lease and resumes it under load.
var freezeHost = Scenario{
	Name:        "freeze_host",
	Description: "a host is suspended for 12 s under load and resumed",
	Run: func(ctx context.Context, t *Trial) error {
		t.startLoad(ctx, 20*time.Second, defaultWorkloads())
		if err := t.freeze(ctx, t.d.EntryHosts[2], nil); err != nil {
			return err
		}
		if err := t.sleep(ctx, 3*time.Second); err != nil {
			return err
		}
		recoveredAt := time.Now()
		t.waitLoad()
		t.expectAnswered("after", recoveredAt, time.Now(), 0.95)
		return nil
	},
}

// freezeLeaving marks upstreams as leaving while a host is suspended. The host
// must not send them new requests when it is resumed.
var freezeLeaving = Scenario{
	Name:        "freeze_leaving",
	Description: "upstreams are marked as leaving while a host is suspended; the host is resumed",
	Run: func(ctx context.Context, t *Trial) error {
		t.startLoad(ctx, 18*time.Second, defaultWorkloads())
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

// freeze suspends h by SIGSTOP for freezeDuration and resumes it. It calls
// whileFrozen, unless that is nil, 1 s after the suspension.
func (t *Trial) freeze(ctx context.Context, h *launch.EntryHost, whileFrozen func() error) error {
	if err := t.sleep(ctx, 2*time.Second); err != nil {
		return err
	}
	t.logf("%s suspended", h.ID)
	if err := h.Process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	defer func() { _ = h.Process.Signal(syscall.SIGCONT) }()
	if err := t.sleep(ctx, time.Second); err != nil {
		return err
	}
	if whileFrozen != nil {
		if err := whileFrozen(); err != nil {
			return err
		}
	}
	if err := t.sleep(ctx, freezeDuration-time.Second); err != nil {
		return err
	}
	t.logf("%s resumed", h.ID)
	return nil
}
