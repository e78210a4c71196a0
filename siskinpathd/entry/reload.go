package entry

import (
	"context"
	"os"
	"time"

	"siskinpath/core/clock"
)

// settingsEvery is how often the settings file is looked at: it may change
// without a signal.
const settingsEvery = 5 * clock.Second

// reload follows the settings file until ctx ends.
func (n *Node) reload(ctx context.Context) {
	if n.SettingsPath == "" {
		return
	}
	t := time.NewTicker(settingsEvery.Duration())
	defer t.Stop()
	seen := modified(n.SettingsPath)
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.ReloadSignals:
			n.Log.Info("reload asked for", "path", n.SettingsPath)
		case <-t.C:
			if at := modified(n.SettingsPath); at.Equal(seen) {
				continue
			}
		}
		seen = modified(n.SettingsPath)
		n.takeSettings()
	}
}

func modified(path string) (at time.Time) {
	if info, err := os.Stat(path); err == nil {
		at = info.ModTime()
	}
	return at
}

// takeSettings reads the file again. Settings that can't be read leave those in
// force as they are; addresses and names take a restart.
func (n *Node) takeSettings() {
	next, err := LoadSettings(n.SettingsPath)
	if err != nil {
		n.Log.Error("settings not taken", "err", err)
		return
	}
	old := n.cfg()
	if next.ID != old.ID || next.Listen != old.Listen || next.Platform != old.Platform || next.AvailabilityZone != old.AvailabilityZone {
		n.Log.Warn("names and addresses of the settings take a restart", "path", n.SettingsPath)
		next.ID, next.Listen, next.Platform, next.AvailabilityZone = old.ID, old.Listen, old.Platform, old.AvailabilityZone
	}
	n.settings.Store(next)
	n.mu.Lock()
	n.configure()
	n.mu.Unlock()
	n.Log.Info("settings in force", "path", n.SettingsPath, "probes_per_second", next.Budgets.ProbesPerSecond,
		"repeat_ratio", next.Budgets.RepeatRatio, "grace_ms", next.Shutdown.GraceMs)
}
