package overlay

import "siskinpath/core/clock"

// Backups are leaves that follow the store for the hosts that usually follow it and for the
// relays, when these have lost the store but are still connected to other hosts. A host whose
// tables get too old although it is not a leaf subscribes to backups, and a leaf that such a
// host subscribes to follows the store. The changes then reach all other leaves through the
// relays, so that no leaf needs more sessions and few hosts call a store that is down for all.

const (
	// backupFactor is how many times as many hosts are backups in the second step as in the
	// first.
	backupFactor = 4
	// backupTerm is how long a host goes on listening to backups when they have made its
	// tables young: without them they would soon be old again.
	backupTerm = 10 * clock.Second
	// backupRetryDelay is how long a backup leaves the store alone after a failed call. Others
	// try it meanwhile.
	backupRetryDelay = 4 * clock.Second
)

// backupUse is how many steps a host has gone in listening to backups.
type backupUse struct {
	steps int
	until clock.Millis
}

// BackupSteps returns how many sets of backups this host should listen to. It is 0 for leaves
// and in fleets without relays.
func (o *Overlay) BackupSteps(now clock.Millis) int {
	steps := o.backupStepsAt(o.Age(now))
	if steps > 0 && steps >= o.backups.steps {
		o.backups = backupUse{steps: steps, until: now + backupTerm}
	}
	if o.backups.steps == 0 || o.relayCount() == 0 {
		return 0
	}
	hosts := o.reachable(now)
	if o.isLeaf(hosts) {
		return 0
	}
	if steps == 0 && (now >= o.backups.until || o.hasStore(now, hosts)) {
		o.backups.steps = 0
	}
	return o.backups.steps
}

// hasStore reports whether this host, which is no leaf, hears from the store without backups:
// by its own calls, or from a host that follows the store for others. hosts are the reachable
// ones by rank.
func (o *Overlay) hasStore(now clock.Millis, hosts []Host) bool {
	if o.oldest(now, func(t *tableAge) clock.Millis { return t.byStore }) <= o.Spans.BackupAge {
		return true
	}
	for _, h := range hosts[:min(len(hosts), SourceCount)] {
		if s := o.sessions[h.ID]; s != nil && s.lastMessageAt > 0 && now-s.lastMessageAt <= staleAfter && !s.storeLost {
			return true
		}
	}
	return false
}

// backupStepsAt returns the number of steps for tables of an age.
func (o *Overlay) backupStepsAt(age clock.Millis) int {
	switch {
	case age <= o.Spans.BackupAge:
		return 0
	case age <= o.Spans.HostAge:
		return 1
	}
	return 2
}

// backupSources returns up to SourceCount backups for each step. hosts are the reachable ones
// by rank.
func (o *Overlay) backupSources(hosts []Host, steps int) (sources []Host) {
	first := min(len(hosts), SourceCount+o.relayCount())
	for count := SourceCount; steps > 0 && first < len(hosts); steps-- {
		last := min(len(hosts), first+count)
		sources = append(sources, o.nearest(hosts[first:last], SourceCount)...)
		first, count = last, count*backupFactor
	}
	return sources
}

// isBackup reports whether this host, a leaf, is a source of a host that is none.
func (o *Overlay) isBackup() bool {
	all := o.rankedHosts()
	upper := all[:min(len(all), SourceCount+o.relayCount())]
	for id := range o.subscribers {
		if containsHost(upper, id) {
			return true
		}
	}
	return false
}

// RecordStoreFailure records that a call of this host to the store has failed.
func (o *Overlay) RecordStoreFailure(now clock.Millis) {
	o.storeFailed, o.storeFailedAt = true, now
}

// mayTryStore reports whether this host, a backup, has not failed to reach the store lately.
func (o *Overlay) mayTryStore(now clock.Millis) bool {
	return !o.storeFailed || now-o.storeFailedAt >= backupRetryDelay
}
