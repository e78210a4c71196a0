package faultinjection

import (
	"context"
	"syscall"
	"time"
)

// killHost ends hosts by SIGKILL under load. One comes back as a new
// incarnation at the same addresses.
var killHost = Scenario{
	Name:        "kill_host",
	Description: "two of five hosts are killed under load, one starts again",
	Run: func(ctx context.Context, t *Trial) error {
		t.loadFor(ctx, 14*time.Second, usualMixes())
		if err := t.sleep(ctx, 2*time.Second); err != nil {
			return err
		}
		first, second := t.d.EntryHosts[1], t.d.EntryHosts[3]
		t.say("%s killed", first.ID)
		if err := first.Process.Signal(syscall.SIGKILL); err != nil {
			return err
		}
		first.Process.Wait(time.Second)
		if err := t.sleep(ctx, 2*time.Second); err != nil {
			return err
		}
		t.say("%s starts again, %s killed", first.ID, second.ID)
		if err := t.d.StartHost(first); err != nil {
			return err
		}
		if err := second.Process.Signal(syscall.SIGKILL); err != nil {
			return err
		}
		if err := t.sleep(ctx, 5*time.Second); err != nil {
			return err
		}
		calm := time.Now()
		t.waitLoad()
		t.expectServed("after", calm, time.Now(), 0.95)
		t.expect(serves(first), "%s does not serve again", first.ID)
		return nil
	},
}
