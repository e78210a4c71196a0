package faultinjection

import (
	"context"
	"syscall"
	"time"

	"siskinpath/standin/launch"
	"siskinpath/standin/platform"
)

// freshHost restarts a host while the platform is unavailable. The host may fetch
// the table from its peers, but must never put an older version in force.
var freshHost = Scenario{
	Name:        "fresh_host",
	Description: "a host is restarted during a platform outage, right after a table edit",
	Run: func(ctx context.Context, t *Trial) error {
		t.startLoad(ctx, 16*time.Second, defaultWorkloads())
		version, err := t.edit("booking-02", halveWeight)
		if err != nil {
			return err
		}
		t.expectInForce(ctx, t.d.EntryHosts, version)
		h := t.d.EntryHosts[4]
		t.logf("platform outage, %s restarted", h.ID)
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
		t.logf("during the outage %s has table version %d in force (error: %v), healthy: %t", h.ID, during, err, healthy(h))
		t.record("version_during_outage", float64(during))
		t.expect(during == 0 || during == version, "%s has version %d in force, %d expected", h.ID, during, version)
		t.expect(!healthy(h) || during == version, "%s is healthy without the latest table version", h.ID)
		if err := t.d.SetPlatformFaults(platform.Faults{ListLagMs: listLagMs}); err != nil {
			return err
		}
		t.expectInForce(ctx, []*launch.EntryHost{h}, version)
		recovered := launch.WaitUntil(ctx, serveTimeout, pollInterval, func() bool { return healthy(h) })
		t.expect(recovered, "%s is not healthy after the outage", h.ID)
		return nil
	},
}

// restart kills h and starts it again at the same addresses.
func (t *Trial) restart(h *launch.EntryHost) error {
	if err := h.Process.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	h.Process.Wait(time.Second)
	return t.d.StartHost(h)
}
