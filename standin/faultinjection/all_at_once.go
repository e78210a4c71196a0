package faultinjection

import (
	"context"
	"syscall"
	"time"

	"siskinpath/standin/consistency"
	"siskinpath/standin/launch"
	"siskinpath/standin/platform"
)

// allAtOnce brings about several failures together: the platform goes silent
// after an edit, one host is killed, another is frozen and woken, and a third is
// told to stop, all before the platform is back.
var allAtOnce = Scenario{
	Name:        "all_at_once",
	Description: "edit, silent platform, a killed, a frozen and a stopping host together",
	Run: func(ctx context.Context, t *Trial) error {
		t.loadFor(ctx, 22*time.Second, usualMixes())
		if err := t.sleep(ctx, 2*time.Second); err != nil {
			return err
		}
		killed, frozen, stopped := t.d.EntryHosts[0], t.d.EntryHosts[1], t.d.EntryHosts[2]
		if _, err := t.edit("booking-06", func(u *launch.UpstreamRow) { u.Leaving = true }); err != nil {
			return err
		}
		t.marks = append(t.marks, consistency.LeavingMark{Upstream: "booking-06", UnixMs: time.Now().UnixMilli()})
		if err := t.sleep(ctx, oneHostKnows); err != nil {
			return err
		}
		told := time.Now()
		if err := t.breakAll(killed, frozen, stopped); err != nil {
			return err
		}
		if err := t.sleep(ctx, 9*time.Second); err != nil {
			return err
		}
		t.say("%s wakes, the platform is back, %s starts again", frozen.ID, killed.ID)
		if err := t.mendAll(killed, frozen); err != nil {
			return err
		}
		if err := t.sleep(ctx, 6*time.Second); err != nil {
			return err
		}
		calm := time.Now()
		t.waitLoad()
		t.expectServed("after", calm, time.Now(), 0.95)
		cut := t.cut(stopped, told)
		t.figure("cut_in_flight", float64(cut))
		t.expect(cut == 0, "%d requests were cut off by %s", cut, stopped.ID)
		return nil
	},
}

func (t *Trial) breakAll(killed, frozen, stopped *launch.EntryHost) error {
	t.say("platform silent, %s killed, %s frozen, %s told to stop", killed.ID, frozen.ID, stopped.ID)
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

func (t *Trial) mendAll(killed, frozen *launch.EntryHost) error {
	if err := frozen.Process.Signal(syscall.SIGCONT); err != nil {
		return err
	}
	if err := t.d.StartHost(killed); err != nil {
		return err
	}
	return t.d.SetPlatformFaults(platform.Faults{ListLagMs: listLagMs})
}
