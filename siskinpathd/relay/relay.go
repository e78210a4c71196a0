// Package relay distributes the tables that a few hosts read from the platform's
// store to all other hosts, and tells all of them which hosts are alive.
//
// A host opens a session to each of its sources, which package overlay chooses. A
// source announces up to which version it knows each table. The subscriber
// fetches the changes that it lacks, from its own availability zone if possible.
// Both ends send heartbeats.
package relay

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"siskinpath/core/clock"
	"siskinpath/core/overlay"
	"siskinpath/core/quarantine"
	"siskinpath/siskinpathd/relay/relaypb"
	"siskinpath/siskinpathd/watch"
)

const (
	// sourcesInterval is how often the choice of sources is checked.
	sourcesInterval = 500 * clock.Millisecond
	// agesInterval is how often the ages of the tables are checked for a need of more sources.
	agesInterval = 100 * clock.Millisecond
	// dialTimeout is how long a host has to accept a session: several round trips
	// to another availability zone.
	dialTimeout = 400 * clock.Millisecond
	// hostChangeDelay is how long changes of hosts are collected before they are
	// sent to subscribers.
	hostChangeDelay = 100 * clock.Millisecond
)

var (
	sessionsOpened  = metrics.NewCounter("relay_sessions_opened_total")
	sessionsLost    = metrics.NewCounter("relay_sessions_lost_total")
	updatesSent     = metrics.NewCounter("relay_updates_sent_total")
	updatesReceived = metrics.NewCounter("relay_updates_received_total")
	followsStore    = metrics.NewGauge("follows_store", nil)     // 1 while this host follows the store itself
	oldestTableAge  = metrics.NewGauge("table_age_seconds", nil) // at the last heartbeat
)

// countBytes counts the bytes of an update that was sent or received, as they are on the link.
func countBytes(direction, table string, n int) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`relay_update_bytes_%s_total{table=%q}`, direction, table)).Add(n)
}

// Relay manages a host's sessions to its sources and from its subscribers. Set the
// exported fields before Bind.
type Relay struct {
	Self          overlay.Host
	ListenAddress string
	Clock         clock.Clock
	Boot          clock.Clock // clock.Boot, or another clock in tests
	Log           *slog.Logger
	Tables        map[string]watch.Replica
	Spans         overlay.Spans
	// ProvenTable is the table whose proven age this host keeps below ProvenBound by asking
	// the store itself; 0 for no bound.
	ProvenTable string
	ProvenBound clock.Millis
	// Ageless holds the names of tables whose age does not make this host follow the store.
	Ageless map[string]bool
	// ProvenOnly holds the names of tables that are taken only from sources that send proven
	// ages: older releases keep only some of their rows.
	ProvenOnly map[string]bool
	// StartupWait is how long this host waits for a source after its start before it
	// reads the store itself.
	StartupWait clock.Millis
	// StoreLost reports whether this host's own calls to the store fail.
	StoreLost func() bool
	// OnStoreLost is called for each message received while all sources have lost
	// the store.
	OnStoreLost func()
	// OnCrashEvents is called with the events that a peer has sent, and returns those that
	// this host did not know. KnownCrashEvents returns all that it knows; it must not call the
	// relay. Either may be nil.
	OnCrashEvents    func([]quarantine.Event) []quarantine.Event
	KnownCrashEvents func() []quarantine.Event

	fetches fetches
	packer  packer

	mu          sync.Mutex
	overlay     overlay.Overlay
	sessions    map[string]*session // sessions to sources, by id of the source
	subscribers map[*subscriber]bool
	hostChanges []*relaypb.Host // changes of hosts not yet sent to subscribers
	selfChanged chan struct{}   // closed when this host's own entry changes
	newSources  chan struct{}   // signals that other hosts may be better sources now
	ln          net.Listener
	restored    atomic.Bool // the store has come back from an older copy
	eraStart    eraStart
	follows     bool               // the last result of ShouldFollowStore
	moreSources bool               // more sources than usual are needed
	backupSteps int                // the last result of BackupSteps
	receipts    map[string]receipt // by table
	// subscribersVersion rises with each change of the set of subscribers.
	subscribersVersion uint64
}

// Bind opens the listener.
func (r *Relay) Bind() (err error) {
	r.sessions = map[string]*session{}
	r.subscribers = map[*subscriber]bool{}
	r.selfChanged = make(chan struct{})
	r.newSources = make(chan struct{}, 1)
	r.overlay.Self, r.overlay.Spans = r.Self, r.Spans
	r.overlay.ProvenTable, r.overlay.ProvenBound = r.ProvenTable, r.ProvenBound
	r.overlay.Tables = slices.DeleteFunc(slices.Sorted(maps.Keys(r.Tables)), func(name string) bool { return r.Ageless[name] })
	r.overlay.Start(r.Clock.Now(), r.StartupWait)
	r.ln, err = net.Listen("tcp", r.ListenAddress)
	return errors.WithMessagef(err, "peer listener %s", r.ListenAddress)
}

// Run serves subscribers and maintains the sessions to sources until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	go r.accept()
	sources := time.NewTicker(sourcesInterval.Duration())
	defer sources.Stop()
	heartbeat := time.NewTicker(overlay.HeartbeatInterval.Duration())
	defer heartbeat.Stop()
	ages := time.NewTicker(agesInterval.Duration())
	defer ages.Stop()
	r.updateSessions(ctx)
	for {
		select {
		case <-ctx.Done():
			_ = r.ln.Close()
			return
		case <-sources.C:
			r.updateSessions(ctx)
		case <-r.newSources:
			r.updateSessions(ctx)
		case <-heartbeat.C:
			r.sendHeartbeat()
		case <-ages.C:
			if r.needsOtherSources() {
				r.updateSessions(ctx)
			}
		}
	}
}

// needsOtherSources reports whether the ages of the tables ask for more or fewer sources than
// at the last call.
func (r *Relay) needsOtherSources() (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	more, steps := r.overlay.NeedsMoreSources(now), r.overlay.BackupSteps(now)
	if more == r.moreSources && steps == r.backupSteps {
		return false
	}
	r.moreSources, r.backupSteps = more, steps
	r.Log.Info("listens to more hosts", "more", more, "backup_steps", steps, "age_ms", r.overlay.Age(now), "sources", r.overlay.SourceStates(now))
	return true
}

// HandleHostChanges adds hosts that are listed in the platform's store, and removes those
// that are not any more.
func (r *Relay) HandleHostChanges(hosts []overlay.Host, removed []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.overlay.HandleHostChanges(hosts, removed)
	r.signalNewSources()
}

func (r *Relay) signalNewSources() {
	select {
	case r.newSources <- struct{}{}:
	default: // a signal is already pending
	}
}

// HandleHostList sets how long this host waits for a first source, after AddHosts has
// been called with the registered hosts for the first time.
func (r *Relay) HandleHostList() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.overlay.HandleHostList(r.Clock.Now())
}

// HostsToLookAfter returns the ids of the hosts that are known to live if this host looks
// after the list of hosts, nil otherwise.
func (r *Relay) HostsToLookAfter() (live map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	boot := r.Boot.Now()
	if !r.overlay.LooksAfterList(boot) {
		return nil
	}
	return r.overlay.LiveHosts(boot)
}

// ShouldFollowList reports whether this host must follow a table of hosts itself; see
// overlay.Overlay.
func (r *Relay) ShouldFollowList(table string, lease clock.Millis) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.overlay.ShouldFollowList(r.Clock.Now(), r.Boot.Now(), table, lease)
}

// ShouldFollowStore reports whether this host must follow the store itself.
func (r *Relay) ShouldFollowStore() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	follows := r.mustFollow()
	if follows != r.follows {
		r.follows = follows
		followsStore.Set(0)
		if follows {
			followsStore.Set(1)
		}
		r.Log.Info("follows the store itself", "follows", follows, "age_ms", r.overlay.Age(now), "sources", r.overlay.SourceStates(now))
	}
	return follows
}

// RecordStoreFailure records that a call of this host to the store has failed.
func (r *Relay) RecordStoreFailure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.overlay.RecordStoreFailure(r.Clock.Now())
}

// Size returns the number of hosts, including this one.
func (r *Relay) Size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.overlay.Size()
}

// CallerAddresses returns up to limit addresses of hosts for callers in an
// availability zone.
func (r *Relay) CallerAddresses(zone string, limit int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.overlay.CallerAddresses(r.Boot.Now(), zone, limit, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

// ForwardHosts returns up to limit other hosts that take requests of this one.
func (r *Relay) ForwardHosts(limit int) []overlay.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.overlay.ForwardHosts(r.Boot.Now(), limit, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

// ForwardAddresses returns the addresses at which the other registered hosts take requests
// and messages of hosts, by id.
func (r *Relay) ForwardAddresses() map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.overlay.ForwardAddresses()
}

// SetReady announces to all hosts whether callers may be sent to this one.
func (r *Relay) SetReady(ready bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.overlay.Self.Ready == ready {
		return
	}
	r.overlay.Self.Ready = ready
	close(r.selfChanged)
	r.selfChanged = make(chan struct{})
	r.announceHost(hostToWire(r.overlay.Self))
}

// self returns this host's own entry, and a channel that is closed when the entry
// changes.
func (r *Relay) self() (overlay.Host, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.overlay.Self, r.selfChanged
}

// storeLost reports whether this host cannot receive changes of the store: its own
// calls fail if it follows the store, or else all its sources have lost the store.
func (r *Relay) storeLost() bool {
	own := r.StoreLost()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mustFollow() {
		return own
	}
	return r.overlay.StoreLost()
}

// mustFollow reports whether the ages or the proven age of tables require that this host
// follows the store itself. r.mu must be held.
func (r *Relay) mustFollow() bool {
	now := r.Clock.Now()
	follows := r.overlay.ShouldFollowStore(now)
	return r.overlay.ShouldProve(now, r.Boot.Now()) || follows
}
