package entry

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"siskinpath/core/clock"
	"siskinpath/core/overlay"
	"siskinpath/siskinpathd/relay"
	"siskinpath/siskinpathd/watch"
)

const (
	// batch is how long changes gather before a host that follows the store asks
	// again. They have to be in force everywhere two seconds after they were
	// accepted.
	batch = 1000 * clock.Millisecond
	// feedWait is how long the store holds an answer back while nothing changes. A
	// store that falls silent is noticed when it has passed.
	feedWait = 4 * clock.Second
	// storeRetry and storeMostRetry bound the pause between calls that fail.
	storeRetry     = 100 * clock.Millisecond
	storeMostRetry = clock.Second
	// hostsAgain is when a host that has just entered itself reads who else has.
	hostsAgain = 700 * clock.Millisecond
	// firstPatience is how long a host waits for others when all start for the first
	// time: they find each other after hostsAgain.
	firstPatience = 2 * clock.Second
	// startPatience is the same at any other start. Callers wait.
	startPatience = 60 * clock.Millisecond
	// hostsEvery is how often it reads them after that. Other hosts tell of new
	// ones sooner.
	hostsEvery = clock.Minute
)

const (
	// thousandths of a core are the unit of a host's capacity.
	thousandths = 1000
	// enoughMbps is the link from which a host's processor bounds what it can pass
	// on: a change of 400 rows is 100 KB for each of some 50 listeners.
	enoughMbps = 200
)

// capacity is what this host can do for others.
func capacity(cfg *Settings) int {
	c := cfg.Cores * thousandths
	if cfg.LinkMbps > 0 {
		c *= min(1, cfg.LinkMbps/enoughMbps)
	}
	return int(c)
}

// Names of the tables that hosts pass on to each other.
const (
	tableConfig    = "configuration"
	tableUpstreams = "upstreams"
)

// WatchedTable is a table of the store and what its values mean.
type WatchedTable[T any] struct {
	Source watch.Source
	Decode func(key string, value []byte) (T, error)
}

// HostRegistry is where hosts find each other at their start.
type HostRegistry interface {
	Read(ctx context.Context) ([]overlay.Host, error)
	Write(ctx context.Context, h overlay.Host) error
}

// startRelay makes the tables and the relay that passes them on.
func (n *Node) startRelay() {
	cfg := n.cfg()
	n.relay = &relay.Relay{
		Self: overlay.Host{
			ID: cfg.ID, Incarnation: rand.Uint64() | 1, AvailabilityZone: cfg.AvailabilityZone,
			CallerAddress: cfg.Listen.Caller, PeerAddress: cmp.Or(cfg.Listen.PeerAdvertised, cfg.Listen.Peer),
			Capacity: capacity(cfg),
		},
		ListenAddress: cfg.Listen.Peer, Clock: n.Clock, Log: n.Log,
		StartupWait: n.patience(),
		StoreLost:   func() bool { return n.lostCalls.Load() > 0 },
		OnStoreLost: n.storeLost,
	}
	n.configTable = newTable(n, tableConfig, n.Config, n.applyConfig)
	n.upstreamTable = newTable(n, tableUpstreams, n.Discovery, n.applyDiscovery)
	n.relay.Tables = map[string]watch.Replica{tableConfig: n.configTable, tableUpstreams: n.upstreamTable}
}

func newTable[T any](n *Node, name string, f WatchedTable[T], apply func([]watch.DecodedRow[T])) *watch.Table[T] {
	return &watch.Table[T]{
		Name: name, Log: n.Log, Decode: f.Decode, Apply: apply,
		OnChange: func(version int64) { n.relay.AnnounceVersion(name, version) },
	}
}

func (n *Node) watchers() []*watch.Watcher {
	return []*watch.Watcher{
		n.watcher(tableConfig, n.Config.Source, n.configTable.Version, n.configTable.Merge),
		n.watcher(tableUpstreams, n.Discovery.Source, n.upstreamTable.Version, n.upstreamTable.Merge),
	}
}

func (n *Node) watcher(name string, s watch.Source, version func() (int64, bool), take func(watch.Update) bool) *watch.Watcher {
	return &watch.Watcher{
		Name: name, Source: s, Log: n.Log, Version: version, Merge: take, Enabled: n.relay.ShouldFollowStore,
		BatchInterval: batch, LongPollTimeout: feedWait, RetryDelay: storeRetry, MaxRetryDelay: storeMostRetry,
		OnFailure: func(error) {
			n.lostCalls.Add(1)
			n.storeLost()
		},
		OnRecovery: func() { n.lostCalls.Store(0) },
	}
}

// patience is how long this host waits at its start to hear from others what the
// store holds.
func (n *Node) patience() clock.Millis {
	if n.cfg().FirstStart {
		return firstPatience
	}
	return startPatience
}

func (n *Node) storeLost() {
	n.mu.Lock()
	n.registry.RecordOutage(n.Clock.Now())
	n.mu.Unlock()
}

// followHosts enters this host among the others and finds them.
func (n *Node) followHosts(ctx context.Context) {
	self := n.relay.Self
	pause := storeRetry
	write := n.cfg().FirstStart // then nobody has entered this host yet
	for ctx.Err() == nil {
		pause = min(2*pause, storeMostRetry)
		if write {
			if err := n.Hosts.Write(ctx, self); err != nil {
				n.Log.Warn("this host can't be entered", "err", err)
			} else {
				write = false
				pause = hostsAgain
			}
		} else if hosts, err := n.Hosts.Read(ctx); err != nil {
			n.Log.Warn("hosts can't be read", "err", err)
		} else {
			n.relay.AddHosts(hosts)
			pause = hostsEvery
			if write = !entered(hosts, self); write {
				continue
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause.Duration()):
		}
	}
}

// entered tells whether the row of this host is as it should be. The incarnation
// is told by the host itself.
func entered(hosts []overlay.Host, self overlay.Host) bool {
	for _, h := range hosts {
		if h.ID == self.ID {
			return h.PeerAddress == self.PeerAddress && h.CallerAddress == self.CallerAddress && h.Capacity == self.Capacity
		}
	}
	return false
}

// CallerAddresses returns the hosts for callers of an availability zone, none before
// this host knows any.
func (n *Node) CallerAddresses(zone string) []string {
	if n.config.Load() == nil {
		return nil
	}
	return n.relay.CallerAddresses(zone, mostAddresses)
}

// mostAddresses is how many addresses callers get: enough that one of them works
// when hosts have just failed.
const mostAddresses = 4
