package faultinjection

import (
	"context"
	"syscall"
	"time"
)

// killHost kills two hosts under load. One is restarted as a new incarnation at
// the same addresses.
var killHost = Scenario{
	Name:        "kill_host",
	Description: "two of five hosts are killed under load, one is restarted",
	Run: func(ctx context.Context, t *Trial) error {
		t.startLoad(ctx, 14*time.Second, defaultWorkloads())
		if err := t.sleep(ctx, 2*time.Second); err != nil {
			return err
		}
		first, second := t.d.EntryHosts[1], t.d.EntryHosts[3]
		t.logf("%s killed", first.ID)
		if err := first.Process.Signal(syscall.SIGKILL); err != nil {
			return err
		}
		first.Process.Wait(time.Second)
		if err := t.sleep(ctx, 2*time.Second); err != nil {
			return err
		}
		t.logf("%s restarted, %s killed", first.ID, second.ID)
		if err := t.d.StartHost(first); err != nil {
			return err
		}
		if err := second.Process.Signal(syscall.SIGKILL); err != nil {
			return err
		}
		if err := t.sleep(ctx, 5*time.Second); err != nil {
			return err
		}
		recoveredAt := time.Now()
		t.waitLoad()
		t.expectAnswered("after", recoveredAt, time.Now(), 0.95)
		t.expect(healthy(first), "%s is not healthy after its restart", first.ID)
		return nil
	},
}
