package entry

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"siskinpath/core/clock"
	"siskinpath/core/overlay"
	"siskinpath/siskinpathd/watch"
)

const (
	// fenceMargin is how much younger than the bound on revocations a configuration must
	// be for its keys to be trusted.
	fenceMargin = 300 * clock.Millisecond
	// fenceInterval is how often a host looks whether its keys are still trusted, so that
	// the log and the metrics show it also while no request comes.
	fenceInterval = 200 * clock.Millisecond
	// revocationPollShare is the longest time between two responses of the store for the
	// configuration, as a share of the bound on revocations. The proven age of a leaf rises
	// to two such times and three heartbeats: 2.2 s for a bound of 5 s. Above half of the
	// bound the leaf would ask the store itself.
	revocationPollShare = 0.1
	// usualHeartbeats is how many heartbeats the proven age of a leaf rises to in calm,
	// besides two times between responses of the store.
	usualHeartbeats = 4
)

var (
	keyFence  = metrics.NewGauge("key_fence", nil)                        // 1 while requests that need keys are refused
	provenAge = metrics.NewGauge("configuration_proven_age_seconds", nil) // of the configuration; the age since the start before the first proof
)

// keyFenceState is whether this host refuses requests that need keys.
type keyFenceState struct {
	mu     sync.Mutex
	closed bool
	since  clock.Millis // start of the current state; 0 before the first check
}

// keysTrusted reports whether this host knows its configuration well enough to accept keys
// now: trusted is false if a key may have been removed for longer than the bound on
// revocations, current is false if a key may have been added for longer than the bound on
// configurations. Without a bound on revocations keys are always trusted.
//
// The caller must read the configuration in force after the call: the process may be paused
// between both.
func (n *Node) keysTrusted(now clock.Millis) (trusted, current bool) {
	b := n.cfg().Bounds
	if b.RevocationMs <= 0 {
		return true, n.configCurrent()
	}
	age := n.relay.ProvenAge(tableConfig)
	trusted = age <= clock.Millis(b.RevocationMs)-fenceMargin
	n.recordFence(now, !trusted, age)
	return trusted, age <= b.configuration() && !n.configUnread.Load()
}

// configCurrent reports whether this host has every configuration that was accepted longer
// ago than the bound on configurations, as far as it has been told, and whether that is not
// much longer ago than is usual.
func (n *Node) configCurrent() bool {
	bound := n.cfg().Bounds.configuration()
	usual := 2*n.relay.Spans.Poll + usualHeartbeats*overlay.HeartbeatInterval
	return n.relay.TableAge(tableConfig) <= bound && n.relay.ProvenAge(tableConfig) <= max(bound, usual) && !n.configUnread.Load()
}

// recordFence logs a change of the fence.
func (n *Node) recordFence(now clock.Millis, closed bool, age clock.Millis) {
	f := &n.keyFence
	f.mu.Lock()
	defer f.mu.Unlock()
	first := f.since == 0
	if !first && f.closed == closed {
		return
	}
	lasted := now - f.since
	f.closed, f.since = closed, now
	if closed {
		keyFence.Set(1)
		n.Log.Warn("keys fenced", "age_ms", age)
		return
	}
	keyFence.Set(0)
	if first {
		return // trusted from the first check on
	}
	n.Log.Info("keys trusted again", "age_ms", age, "fenced_ms", lasted)
}

// watchKeyFence updates the metrics and the log of the fence until ctx ends.
func (n *Node) watchKeyFence(ctx context.Context) {
	t := time.NewTicker(fenceInterval.Duration())
	defer t.Stop()
	started := n.bootClock().Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		age := n.relay.ProvenAge(tableConfig)
		if age >= overlay.UnknownAge {
			age = n.bootClock().Now() - started
		}
		provenAge.Set(age.Duration().Seconds())
		n.keysTrusted(n.Clock.Now())
	}
}

// bootClock returns the clock of proven ages.
func (n *Node) bootClock() clock.Clock {
	if n.Boot == nil {
		return clock.Boot{}
	}
	return n.Boot
}

// pollForRevocation makes a watcher hear from the store often enough for the bound on
// revocations. The bound is that at the start of the process.
func (n *Node) pollForRevocation(w *watch.Watcher) {
	bound := n.cfg().Bounds.RevocationMs
	if bound <= 0 {
		return
	}
	w.PollInterval = min(w.PollInterval, clock.Millis(revocationPollShare*bound))
	w.BatchInterval = min(w.BatchInterval, w.PollInterval)
}
