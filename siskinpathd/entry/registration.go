package entry

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"siskinpath/core/clock"
	"siskinpath/core/fleetlimit"
	"siskinpath/core/overlay"
	"siskinpath/core/revision"
	"siskinpath/core/roster"
	"siskinpath/siskinpathd/watch"
)

const (
	// hostsReadDelay is the pause after firstRegistrationSpread before a host reads the
	// registered hosts for the first time.
	hostsReadDelay = 700 * clock.Millisecond
	// settledReadDelay is how much later a host reads the list that has all others. The proof
	// that others get of it is older by up to a heartbeat.
	settledReadDelay = overlay.HeartbeatInterval + 100*clock.Millisecond
	// registrationInterval is how often a host looks whether it must write to the list of
	// hosts. It also looks when the list changes.
	registrationInterval = 500 * clock.Millisecond
	// registrationSpread is the time over which hosts whose rows were lost or marked together
	// write them again.
	registrationSpread = 300 * clock.Millisecond
	// hostBatchInterval replaces maxBatchInterval for the list of hosts: a host that was marked
	// as leaving by mistake holds no shares until its objection has arrived.
	hostBatchInterval = 300 * clock.Millisecond
	// maxHostWrites is the number of rows in a transaction.
	maxHostWrites = 50
	// hostPollShare is the longest time between two responses of the store for the list of
	// hosts, as a share of the lease. Its proven age rises to twice that at the next hosts.
	hostPollShare = 0.2
)

var (
	registeredHosts = metrics.NewGauge("registered_hosts", nil)
	leavingHosts    = metrics.NewGauge("leaving_hosts", nil) // marked as gone
	shareFence      = metrics.NewGauge("share_fence", nil)   // 1 while this host may hold no shares of fleet-wide limits
)

// HostRegistry is the table in which hosts register themselves and find each other.
type HostRegistry struct {
	WatchedTable[roster.Entry]
	// Write makes changes, all of them or none, and returns the revision after them. It
	// returns roster.ErrConflict if a row is not as a change expects it.
	Write func(ctx context.Context, writes []roster.Write) (at revision.Revision, err error)
}

// hostList is the list of registered hosts. Set the exported fields before use.
type hostList struct {
	Clock clock.Clock
	Log   *slog.Logger

	changed chan struct{} // signals a change of the list

	mu      sync.Mutex // guards the fields below
	roster  roster.Roster
	members []fleetlimit.Member // replaced at each change, never changed
	fenced  bool
}

func (n *Node) initHosts() {
	cfg := n.cfg()
	n.hosts = &hostList{Clock: n.Clock, Log: n.Log, changed: make(chan struct{}, 1), fenced: true}
	n.hosts.roster = roster.Roster{
		Lease: roster.LeaseFor(clock.Millis(cfg.Bounds.RevocationMs)), FirstStart: cfg.FirstStart, Started: n.Clock.Now(),
	}
	shareFence.Set(1)
}

// configure makes a watcher hear from the store often enough for the lease.
func (l *hostList) configure(w *watch.Watcher) {
	w.PollInterval = clock.Millis(hostPollShare * float64(l.roster.Lease))
	w.BatchInterval = min(w.BatchInterval, hostBatchInterval)
}

// shouldFollowHosts reports whether this host must follow the list of hosts itself.
func (n *Node) shouldFollowHosts() bool {
	return n.relay.ShouldFollowList(tableHosts, n.hosts.roster.Lease)
}

// read reports whether the list is known.
func (l *hostList) read() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.roster.Read()
}

// apply applies changed rows, and returns the hosts that are added or changed and the ids of
// those that are removed.
func (l *hostList) apply(rows []watch.DecodedRow[roster.Entry]) (hosts []overlay.Host, removed []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changes := make([]roster.Row, 0, len(rows))
	for _, row := range rows {
		change := roster.Row{ID: row.Key}
		if row.Removed || row.DecodeErr != nil {
			removed = append(removed, row.Key)
		} else {
			e := row.Value
			e.Revision = row.Revision
			change.Entry = &e
			hosts = append(hosts, e.Host)
		}
		changes = append(changes, change)
	}
	l.roster.Apply(l.Clock.Now(), changes)
	l.members = l.roster.Members()
	report := l.roster.Report()
	registeredHosts.Set(float64(report.Hosts))
	leavingHosts.Set(float64(len(report.Leaving)))
	select {
	case l.changed <- struct{}{}:
	default: // a signal is already pending
	}
	return hosts, removed
}

// applyHosts applies changed rows of the list of hosts.
func (n *Node) applyHosts(rows []watch.DecodedRow[roster.Entry]) {
	for _, row := range rows {
		if row.Revision.Era > 0 {
			n.relay.RecordEra(row.Revision.Era)
		}
		n.Log.Debug("host registration", "host", row.Key, "removed", row.Removed, "state", row.Value.State, "leaving", row.Value.Leaving,
			"version", row.Revision.Version, "era", row.Revision.Era)
	}
	n.relay.HandleHostChanges(n.hosts.apply(rows))
	// This host may have to give up shares at once. New ones can wait for the next sweep.
	if n.quotas.holdsShares() {
		n.configureQuotas()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.coldShares.inUse() {
		n.refreshColdShares()
	}
}

// refreshColdShares passes a change of the list of hosts, or of whether this host may hold
// shares, on to the shares of cold upstreams. n.mu must be held.
func (n *Node) refreshColdShares() {
	if n.coldShares.setMembers(n.holding(fenceInterval)) {
		n.reconfigure()
	}
}

// watchShares applies a change of whether this host may hold shares, until ctx ends.
func (n *Node) watchShares(ctx context.Context) {
	t := time.NewTicker(fenceInterval.Duration())
	defer t.Stop()
	var held, heldCold bool
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if may := n.mayHold(0); may != held {
			held = may
			n.configureQuotas()
		}
		if may := n.mayHold(fenceInterval); may != heldCold {
			heldCold = may
			n.mu.Lock()
			n.refreshColdShares()
			n.mu.Unlock()
		}
	}
}

// proof returns what is known of the age of the list.
func (n *Node) proof() roster.Proof {
	return roster.Proof{Age: n.relay.ProvenAge(tableHosts), EraAge: n.relay.EraAge()}
}

// mayHold reports whether this host may hold shares of fleet-wide limits for a time from now
// on.
func (n *Node) mayHold(span clock.Millis) bool {
	proof := n.proof()
	proof.Age += span
	l := n.hosts
	l.mu.Lock()
	defer l.mu.Unlock()
	may := l.roster.MayHold(l.Clock.Now(), proof)
	if fenced := !may; fenced != l.fenced && span == 0 {
		l.fenced = fenced
		shareFence.Set(0)
		if fenced {
			shareFence.Set(1)
		}
		report := l.roster.Report()
		l.Log.Info("shares of limits fenced", "fenced", fenced, "list_age_ms", proof.Age, "state", report.State, "hosts", report.Hosts)
	}
	return may
}

// holding returns the registered hosts that count for the choice of holders, and whether this
// one may hold shares for a time from now on.
func (n *Node) holding(span clock.Millis) (members []fleetlimit.Member, mayHold bool) {
	mayHold = n.mayHold(span)
	n.hosts.mu.Lock()
	defer n.hosts.mu.Unlock()
	return n.hosts.members, mayHold
}

// report returns the state for operators.
func (l *hostList) report() roster.Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.roster.Report()
}

// maintainRegistration keeps this host registered, and the list of hosts free of those that
// are gone if this host looks after it, until ctx ends.
func (n *Node) maintainRegistration(ctx context.Context) {
	readAt := n.Clock.Now()
	if n.cfg().FirstStart {
		readAt += firstRegistrationSpread + hostsReadDelay
		sleep(ctx, randomUpTo(firstRegistrationSpread))
	}
	settled := n.hosts.roster.Settled()
	if settled > 0 {
		settled += settledReadDelay
	}
	listKnown := false
	failures := 0
	for ctx.Err() == nil {
		var err error
		if !n.hosts.read() && n.Clock.Now() >= readAt {
			err = n.hostWatcher.Read(ctx)
		}
		if settled > 0 && n.Clock.Now() >= settled && n.shouldFollowHosts() {
			// The others hear of it at once, and no later than by the next poll.
			if err = n.hostWatcher.Read(ctx); err == nil {
				settled = 0
			}
		}
		if err == nil {
			err = n.writeHosts(ctx)
		}
		if !listKnown && n.hosts.read() {
			listKnown = true
			n.relay.HandleHostList()
			n.configureQuotas()
		}
		pause := registrationInterval
		if err != nil {
			n.Log.Warn("cannot keep the list of hosts in the store", "err", err)
			pause = min(storeRetryDelay<<min(failures, 6), storeMaxRetryDelay)
			failures++
		} else {
			failures = 0
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause.Duration()):
		case <-n.hosts.changed:
			sleep(ctx, randomUpTo(registrationSpread))
		}
	}
}

// writeHosts writes what this host must write to the list of hosts.
func (n *Node) writeHosts(ctx context.Context) (err error) {
	l := n.hosts
	l.mu.Lock()
	own, needed := l.roster.Registration(l.Clock.Now())
	l.mu.Unlock()
	if needed {
		if err = n.register(ctx, own); err != nil {
			return err
		}
	}
	live := n.relay.HostsToLookAfter()
	looksAfterList := live != nil && n.failedStoreCalls.Load() == 0
	l.mu.Lock()
	writes := l.roster.Upkeep(l.Clock.Now(), looksAfterList, func(id string) bool { return live[id] })
	l.mu.Unlock()
	for len(writes) > 0 {
		batch := writes[:min(maxHostWrites, len(writes))]
		writes = writes[len(batch):]
		_, err = n.Hosts.Write(ctx, batch)
		for _, w := range batch {
			n.Log.Info("registration of another host changed", "host", w.Entry.Host.ID, "state", w.Entry.State, "leaving", w.Entry.Leaving,
				"removed", w.Remove, "replaces", w.Replaces.Version, "err", err)
		}
		if err != nil && !errors.Is(err, roster.ErrConflict) {
			return err
		}
	}
	return nil
}

// register writes this host's own row.
func (n *Node) register(ctx context.Context, w roster.Write) (err error) {
	at, err := n.Hosts.Write(ctx, []roster.Write{w})
	l := n.hosts
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case errors.Is(err, roster.ErrConflict):
		l.roster.RegistrationConflict()
		return nil
	case err != nil:
		return err
	}
	l.roster.Registered(l.Clock.Now(), w, at)
	l.Log.Info("registered", "state", w.Entry.State, "version", at.Version)
	return nil
}
