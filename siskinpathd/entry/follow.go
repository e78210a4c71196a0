package entry

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"siskinpath/core/clock"
	"siskinpath/core/overlay"
	"siskinpath/core/revision"
	"siskinpath/siskinpathd/relay"
	"siskinpath/siskinpathd/watch"
)

const (
	// maxBatchInterval limits the pause between two reads of changes by a host that
	// follows the store.
	maxBatchInterval = 1000 * clock.Millisecond
	// storeRetryDelay is the pause after a failed call to the store. It doubles with
	// each further failure up to storeMaxRetryDelay.
	storeRetryDelay    = 100 * clock.Millisecond
	storeMaxRetryDelay = clock.Second
	// firstRegistrationSpread is the time over which hosts register when the whole fleet
	// starts for the first time. The store refuses writes of one part that have to wait
	// for more than a second, and does some 200 a second.
	firstRegistrationSpread = 3 * clock.Second
	// firstStartupWait is how long a host then waits for a source: hosts find each
	// other only hostsReadDelay after firstRegistrationSpread.
	firstStartupWait = firstRegistrationSpread + 2*clock.Second
	// startupWait replaces firstStartupWait at any other start, until the registered
	// hosts have been read.
	startupWait = 250 * clock.Millisecond
)

const (
	// capacityPerCore is the capacity of one core: the unit is a thousandth of a core.
	capacityPerCore = 1000
	// fullCapacityMbps is the link speed from which a host's relaying is limited by its
	// processor and not by its link: a change of 400 rows is 100 KB for each of about
	// 50 subscribers.
	fullCapacityMbps = 200
)

// capacity returns the relaying capacity that this host announces to others. A slow
// link reduces it.
func capacity(cfg *Settings) int {
	c := cfg.Cores * capacityPerCore
	if cfg.LinkMbps > 0 {
		c *= min(1, cfg.LinkMbps/fullCapacityMbps)
	}
	return int(c)
}

// Names of the tables that hosts relay to each other.
const (
	tableConfig    = "configuration"
	tableUpstreams = "upstreams"
	tableHosts     = "hosts"
)

// WatchedTable is a table of the store with the decoder of its values.
type WatchedTable[T any] struct {
	Source watch.Source
	Decode func(key string, value []byte) (T, error)
}

// initRelay creates the tables and the relay that distributes them.
func (n *Node) initRelay() {
	cfg := n.cfg()
	n.relay = &relay.Relay{
		Self: overlay.Host{
			ID: cfg.ID, Incarnation: rand.Uint64() | 1, AvailabilityZone: cfg.AvailabilityZone,
			CallerAddress: cfg.Listen.Caller, PeerAddress: cmp.Or(cfg.Listen.PeerAdvertised, cfg.Listen.Peer),
			ForwardAddress: cmp.Or(cfg.Listen.ForwardAdvertised, cfg.Listen.Forward), Capacity: capacity(cfg),
		},
		ListenAddress: cfg.Listen.Peer, Clock: n.Clock, Boot: n.bootClock(), Log: n.Log, Spans: overlay.NewSpans(cfg.Bounds.change()),
		ProvenTable: tableConfig, ProvenBound: clock.Millis(cfg.Bounds.RevocationMs), Ageless: map[string]bool{tableHosts: true},
		// Releases before evacuations read only the configuration's row.
		ProvenOnly:    map[string]bool{tableConfig: true},
		StartupWait:   n.relayStartupWait(),
		StoreLost:     func() bool { return n.failedStoreCalls.Load() > 0 },
		OnStoreLost:   n.recordStoreLoss,
		OnCrashEvents: n.crashes.merge, KnownCrashEvents: n.crashes.known,
	}
	n.configTable = newTable(n, tableConfig, n.Config, n.applyOperatorsRows)
	n.upstreamTable = newTable(n, tableUpstreams, n.Discovery, n.applyDiscovery)
	n.hostTable = newTable(n, tableHosts, n.Hosts.WatchedTable, n.applyHosts)
	n.relay.Tables = map[string]watch.Replica{tableConfig: n.configTable, tableUpstreams: n.upstreamTable, tableHosts: n.hostTable}
}

func newTable[T any](n *Node, name string, source WatchedTable[T], apply func([]watch.DecodedRow[T])) *watch.Table[T] {
	return &watch.Table[T]{
		Name: name, Log: n.Log, Decode: source.Decode, Apply: apply,
		OnChange: func(at revision.Revision) {
			storeEra.Store(at.Era)
			n.relay.AnnounceChange(name, at)
		},
		OnNewEra: func(from, to revision.Revision) { n.handleNewEra(name, from, to) },
	}
}

func (n *Node) initWatchers() {
	config := n.watcher(tableConfig, n.Config.Source, n.configTable.Revision, n.configTable.Merge)
	n.pollForRevocation(config)
	upstreams := n.watcher(tableUpstreams, n.Discovery.Source, n.upstreamTable.Revision, n.upstreamTable.Merge)
	n.hostWatcher = n.watcher(tableHosts, n.Hosts.Source, n.hostTable.Revision, n.hostTable.Merge)
	n.hosts.configure(n.hostWatcher)
	n.hostWatcher.Enabled = func() bool { return n.hosts.read() && n.shouldFollowHosts() }
	n.watchers = []*watch.Watcher{config, upstreams, n.hostWatcher}
}

func (n *Node) watcher(name string, s watch.Source, known func() (revision.Revision, bool), merge func(watch.Update) bool) *watch.Watcher {
	spans := n.relay.Spans
	return &watch.Watcher{
		Name: name, Source: s, Log: n.Log, Clock: n.Clock, Revision: known, Merge: merge, Enabled: n.relay.ShouldFollowStore,
		Boot: n.bootClock(), Confirm: func(at, started clock.Millis) { n.relay.ConfirmTable(name, at, started) },
		BatchInterval: min(spans.Poll, maxBatchInterval), PollInterval: spans.Poll, ResponseMargin: spans.ResponseMargin,
		RetryDelay: storeRetryDelay, MaxRetryDelay: storeMaxRetryDelay,
		OnFailure: func(error) {
			n.failedStoreCalls.Add(1)
			n.relay.RecordStoreFailure()
			n.recordStoreLoss()
		},
		OnRecovery: func() { n.failedStoreCalls.Store(0) },
	}
}

// relayStartupWait returns how long this host waits for a source at startup before it
// reads the store itself.
func (n *Node) relayStartupWait() clock.Millis {
	if n.cfg().FirstStart {
		return firstStartupWait
	}
	return startupWait
}

func (n *Node) recordStoreLoss() {
	n.mu.Lock()
	n.registry.RecordOutage(n.Clock.Now())
	n.mu.Unlock()
}

// handleNewEra is called when the store has come back from an older copy, once for each
// table and with the table locked. Rows may be missing although their writers still run, as after an outage, and
// this host's own row may be gone.
func (n *Node) handleNewEra(table string, from, to revision.Revision) {
	n.Log.Warn("store came back from an older copy", "table", table, "from_era", from.Era, "from_version", from.Version,
		"to_era", to.Era, "to_version", to.Version)
	n.recordStoreLoss()
	n.relay.HandleNewEra(to.Era)
	for _, w := range n.watchers {
		if w.Name != table {
			go w.ReadWhole(context.Background(), to.Era)
		}
	}
}

func randomUpTo(span clock.Millis) clock.Millis { return clock.Millis(rand.Int64N(int64(span))) }

// sleep waits for span or until ctx ends.
func sleep(ctx context.Context, span clock.Millis) {
	t := time.NewTimer(span.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// CallerAddresses returns the addresses of hosts for callers in an availability zone.
// It returns none before this host has read the configuration.
func (n *Node) CallerAddresses(zone string) []string {
	if n.config.Load() == nil {
		return nil
	}
	return n.relay.CallerAddresses(zone, maxCallerAddresses)
}

// maxCallerAddresses is the number of addresses that callers get. It is large enough
// that one of them works when hosts have just failed.
const maxCallerAddresses = 4
