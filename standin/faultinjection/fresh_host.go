package faultinjection

import (
	"context"
	"syscall"
	"time"

	"siskinpath/standin/launch"
	"siskinpath/standin/platform"
)

// freshHost starts a host again while the platform is away. It may take the
// table from its peers, but never an older one.
var freshHost = Scenario{
	Name:        "fresh_host",
	Description: "a host is replaced during an outage of the platform, right after an edit",
	Run: func(ctx context.Context, t *Trial) error {
		t.loadFor(ctx, 16*time.Second, usualMixes())
		version, err := t.edit("booking-02", lowerWeight)
		if err != nil {
			return err
		}
		t.expectInForce(ctx, t.d.EntryHosts, version)
		h := t.d.EntryHosts[4]
		t.say("outage, and %s is replaced", h.ID)
		if err := t.d.SetPlatformFaults(platform.Faults{Outage: platform.OutageRefuse, ListLagMs: listLagMs}); err != nil {
			return err
		}
		if err := t.restart(h); err != nil {
			return err
		}
		if err := t.sleep(ctx, 6*time.Second); err != nil {
			return err
		}
		during, err := h.TableVersion()
		t.say("during the outage %s has table version %d (%v), serves: %t", h.ID, during, err, serves(h))
		t.figure("version_during_outage", float64(during))
		t.expect(during == 0 || during == version, "%s has version %d in force, %d expected", h.ID, during, version)
		t.expect(!serves(h) || during == version, "%s serves without the newest table", h.ID)
		if err := t.d.SetPlatformFaults(platform.Faults{ListLagMs: listLagMs}); err != nil {
			return err
		}
		t.expectInForce(ctx, []*launch.EntryHost{h}, version)
		served := launch.WaitUntil(ctx, serveTimeout, watchStep, func() bool { return serves(h) })
		t.expect(served, "%s does not serve after the outage", h.ID)
		return nil
	},
}

// restart ends h without warning and starts it again at the same addresses.
func (t *Trial) restart(h *launch.EntryHost) error {
	if err := h.Process.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	h.Process.Wait(time.Second)
	return t.d.StartHost(h)
}
