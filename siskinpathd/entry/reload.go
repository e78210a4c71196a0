package entry

import (
	"context"
	"os"
	"time"

	"siskinpath/core/clock"
)

// settingsPollInterval is how often the settings file is checked for changes that no
// signal announced.
const settingsPollInterval = 5 * clock.Second

// watchSettings reloads the settings when their file changes or a signal arrives, until
// ctx ends.
func (n *Node) watchSettings(ctx context.Context) {
	if n.SettingsPath == "" {
		return
	}
	t := time.NewTicker(settingsPollInterval.Duration())
	defer t.Stop()
	seen := modTime(n.SettingsPath)
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.ReloadSignals:
			n.Log.Info("reload asked for", "path", n.SettingsPath)
		case <-t.C:
			if at := modTime(n.SettingsPath); at.Equal(seen) {
				continue
			}
		}
		seen = modTime(n.SettingsPath)
		n.reloadSettings()
	}
}

func modTime(path string) (at time.Time) {
	if info, err := os.Stat(path); err == nil {
		at = info.ModTime()
	}
	return at
}

// reloadSettings reads the settings file again. If it cannot be read, the settings in
// force stay. Changes of id, availability zone and addresses need a restart and are
// ignored.
func (n *Node) reloadSettings() {
	next, err := LoadSettings(n.SettingsPath)
	if err != nil {
		n.Log.Error("settings not taken", "err", err)
		return
	}
	old := n.cfg()
	if next.ID != old.ID || next.Listen != old.Listen || next.Platform != old.Platform || next.AvailabilityZone != old.AvailabilityZone {
		n.Log.Warn("changes of id, availability_zone, listen and platform need a restart; ignored", "path", n.SettingsPath)
		next.ID, next.Listen, next.Platform, next.AvailabilityZone = old.ID, old.Listen, old.Platform, old.AvailabilityZone
	}
	n.settings.Store(next)
	n.mu.Lock()
	n.reconfigure()
	n.mu.Unlock()
	n.Log.Info("settings in force", "path", n.SettingsPath, "probes_per_second", next.Budgets.ProbesPerSecond,
		"repeat_ratio", next.Budgets.RepeatRatio, "grace_ms", next.Shutdown.GraceMs)
}
