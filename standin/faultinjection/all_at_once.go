package faultinjection

import (
	"context"
	"syscall"
	"time"

	"siskinpath/standin/consistency"
	"siskinpath/standin/launch"
	"siskinpath/standin/platform"
)

// allAtOnce combines several failures: the platform stops responding after a
// table edit, one host is killed, one is suspended and resumed, and one is shut
// down, all before the platform responds again.
var allAtOnce = Scenario{
	Name:        "all_at_once",
	Description: "table edit, unresponsive platform, and a killed, a suspended and a stopping host at once",
	Run: func(ctx context.Context, t *Trial) error {
		t.startLoad(ctx, 22*time.Second, defaultWorkloads())
		if err := t.sleep(ctx, 2*time.Second); err != nil {
			return err
		}
		killed, frozen, stopped := t.d.EntryHosts[0], t.d.EntryHosts[1], t.d.EntryHosts[2]
		if _, err := t.edit("booking-06", func(u *launch.UpstreamRow) { u.Leaving = true }); err != nil {
			return err
		}
		t.marks = append(t.marks, consistency.LeavingMark{Upstream: "booking-06", UnixMs: time.Now().UnixMilli()})
		if err := t.sleep(ctx, editPickupTime); err != nil {
			return err
		}
		sigtermAt := time.Now()
		if err := t.injectFaults(killed, frozen, stopped); err != nil {
			return err
		}
		if err := t.sleep(ctx, 9*time.Second); err != nil {
			return err
		}
		t.logf("%s resumed, platform available again, %s restarted", frozen.ID, killed.ID)
		if err := t.clearFaults(killed, frozen); err != nil {
			return err
		}
		if err := t.sleep(ctx, 6*time.Second); err != nil {
			return err
		}
		recoveredAt := time.Now()
		t.waitLoad()
		t.expectAnswered("after", recoveredAt, time.Now(), 0.95)
		cut := t.cutRequests(stopped, sigtermAt)
		t.record("cut_in_flight", float64(cut))
		t.expect(cut == 0, "%d requests got no response from stopping host %s", cut, stopped.ID)
		return nil
	},
}

func (t *Trial) injectFaults(killed, frozen, stopped *launch.EntryHost) error {
	t.logf("platform unresponsive, %s killed, %s suspended, SIGTERM sent to %s", killed.ID, frozen.ID, stopped.ID)
	if err := t.d.SetPlatformFaults(platform.Faults{Outage: platform.OutageSilent, ListLagMs: listLagMs}); err != nil {
		return err
	}
	if err := killed.Process.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	if err := frozen.Process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	return stopped.Process.Signal(syscall.SIGTERM)
}

func (t *Trial) clearFaults(killed, frozen *launch.EntryHost) error {
	if err := frozen.Process.Signal(syscall.SIGCONT); err != nil {
		return err
	}
	if err := t.d.StartHost(killed); err != nil {
		return err
	}
	return t.d.SetPlatformFaults(platform.Faults{ListLagMs: listLagMs})
}
