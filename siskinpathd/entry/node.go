// Package entry is a host that shares its upstreams with all others: it takes
// callers' requests by the operators' configuration, and sends each to the
// upstream that can answer it soonest. What is decided where is in
// docs/design-platform.md.
package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"siskinpath/core/clock"
	"siskinpath/core/config"
	"siskinpath/core/discovery"
	"siskinpath/core/place"
	"siskinpath/core/route"
	"siskinpath/siskinpathd/logs"
	"siskinpath/siskinpathd/relay"
	"siskinpath/siskinpathd/upstream"
	"siskinpath/siskinpathd/watch"
)

const (
	// sweepEvery is how often unused connections are looked over.
	sweepEvery = 2 * clock.Second
	// repeatsKeep is the share of the budget of second sends that is used; the rest
	// covers requests that were counted and then refused.
	repeatsKeep = 0.9
	// slackKeep is the share of the slack that hosts may save up together. They
	// start with it, and many may start twice in the span that is counted.
	slackKeep = 0.25
	// probesKeep is the same as repeatsKeep for probes.
	probesKeep = 0.8
)

// Node is the host. Set the exported fields before Run.
type Node struct {
	Settings   *Settings
	Log        *slog.Logger
	LogLimiter *logs.Limiter // of Log
	// SettingsPath is where Settings were read from, and Changed says that they may have
	// changed there.
	SettingsPath    string
	ReloadSignals   <-chan os.Signal
	Clock           clock.Clock
	UpstreamDialect *upstream.Dialect
	CallerHeaders   CallerHeaders
	Config          WatchedTable[*config.Config]
	Discovery       WatchedTable[*discovery.Upstream]
	Hosts           HostRegistry

	settings      atomic.Pointer[Settings] // in force
	config        atomic.Pointer[config.Config]
	found         atomic.Bool // discovery was read once
	leaving       atomic.Int64
	server        *Server
	relay         *relay.Relay
	lostCalls     atomic.Int64 // calls to the store that failed since one worked
	pools         *UpstreamPools
	configTable   *watch.Table[*config.Config]
	upstreamTable *watch.Table[*discovery.Upstream]
	decisions     *decisions
	ours          map[string]bool // headers that only hosts set

	mu       sync.Mutex // guards what is below
	registry discovery.Registry
	runners  map[string]*Dispatcher
	splitter config.Splitter
	shared   int // hosts that the budgets were divided by
}

// Run serves until ctx ends, and then until callers have gone elsewhere.
func (n *Node) Run(ctx context.Context) (err error) {
	n.start()
	if err = n.server.Bind(); err != nil {
		return err
	}
	if err = n.relay.Bind(); err != nil {
		return err
	}
	if err = n.runOperator(); err != nil {
		return err
	}
	work, stop := context.WithCancel(context.Background())
	defer stop()
	go n.server.Run()
	go n.relay.Run(work)
	for _, w := range n.watchers() {
		go w.Run(work)
	}
	go n.followHosts(work)
	go n.housekeep(work)
	go n.reload(work)
	n.Log.Info("started", "callers", n.cfg().Listen.Caller, "platform", n.cfg().Platform.Address)
	<-ctx.Done()
	n.leave()
	n.Log.Info("stopped")
	return nil
}

func (n *Node) start() {
	n.settings.Store(n.Settings)
	n.pools = &UpstreamPools{Clock: n.Clock, Dialect: n.UpstreamDialect}
	n.decisions = &decisions{log: n.Log, clock: n.Clock, limit: n.LogLimiter}
	n.runners = map[string]*Dispatcher{}
	n.splitter.Rand = newRand()
	n.ours = map[string]bool{n.UpstreamDialect.Instance: true}
	n.startRelay()
	n.server = &Server{ListenAddress: n.cfg().Listen.Caller, Log: n.Log, Limits: n.limits, Handle: n.handle}
}

// cfg returns the settings in force.
func (n *Node) cfg() *Settings { return n.settings.Load() }

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// Ready tells why callers should not use this host, nil when they may.
func (n *Node) Ready() error {
	switch {
	case n.leaving.Load() != 0:
		return errLeaving
	case n.config.Load() == nil:
		return errNoConfig
	case !n.found.Load():
		return errNoDiscovery
	}
	return nil
}

// InFlight returns the number of requests that are not answered yet.
func (n *Node) InFlight() int { return n.server.InFlight() }

// firstLimits hold until a configuration is known.
var firstLimits = config.Limits{
	MaxHeaderBytes: 16 << 10,
	MaxBodyBytes:   64 << 20,
	HeaderTimeout:  3 * clock.Second,
	IdleTimeout:    15 * clock.Second,
}

func (n *Node) limits() config.Limits {
	if c := n.config.Load(); c != nil {
		return c.Limits
	}
	return firstLimits
}

// runnerFor chooses the service of a request and returns its runner, nil when
// there is none.
func (n *Node) runnerFor(r *request) *Dispatcher {
	n.mu.Lock()
	defer n.mu.Unlock()
	r.service = n.splitter.Pick(r.route)
	return n.runners[r.service]
}

// applyConfig takes on a configuration that is newer than the one in force.
func (n *Node) applyConfig(rows []watch.DecodedRow[*config.Config]) {
	for _, row := range rows {
		if row.Removed || row.DecodeErr != nil || row.Value == nil {
			continue
		}
		old := n.config.Load()
		if old != nil && row.Value.Version <= old.Version {
			continue
		}
		n.config.Store(row.Value)
		n.mu.Lock()
		n.splitter.Prune(row.Value)
		n.configure()
		n.mu.Unlock()
		n.Log.Info("configuration in force", "version", row.Value.Version, "row_version", row.Version,
			"routes", len(row.Value.Routes), "services", len(row.Value.Services))
	}
	n.relay.SetReady(n.Ready() == nil)
}

// applyDiscovery takes in entries of upstreams.
func (n *Node) applyDiscovery(rows []watch.DecodedRow[*discovery.Upstream]) {
	entries := make([]discovery.Entry, 0, len(rows))
	for _, row := range rows {
		e := discovery.Entry{ID: row.Key, Version: row.Version, Missing: row.Missing}
		if !row.Removed && row.DecodeErr == nil {
			e.Upstream = row.Value
		}
		entries = append(entries, e)
		n.decisions.discovered(row)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.registry.Apply(n.Clock.Now(), entries) {
		n.configure()
	}
	n.planDrop()
	if n.found.CompareAndSwap(false, true) {
		n.Log.Info("upstreams read whole", "entries", n.registry.Len())
		n.relay.SetReady(n.Ready() == nil)
	}
}

// configure passes the configuration and the upstreams on to the runners. n.mu
// is held.
func (n *Node) configure() {
	cfg := n.config.Load()
	if cfg == nil {
		return
	}
	n.shared = n.relay.Size()
	var all []discovery.ActiveUpstream
	for name := range cfg.Services {
		list := n.registry.Service(name)
		all = append(all, list...)
		if n.runners[name] == nil {
			n.runners[name] = n.newRunner(name)
		}
	}
	n.pools.Configure(all,
		func(service string) string { return cfg.Services[service].HealthPath },
		func(service string) int { return connectionShare(cfg.Services[service].MaxConnections, n.shared) })
	for name, r := range n.runners {
		r.Configure(n.placeConfig(n.registry.Service(name)))
	}
}

// connectionShare is this host's part of the connections that an upstream takes.
// Half of them are left for hosts that start again while the connections of the
// old process are still open.
func connectionShare(limit, hosts int) int {
	if limit <= 0 {
		return 0
	}
	return max(2, limit/(2*hosts))
}

func (n *Node) placeConfig(list []discovery.ActiveUpstream) place.Config {
	b := n.cfg().Budgets
	cfg := place.Config{
		AvailabilityZone: n.cfg().AvailabilityZone,
		RepeatRatio:      repeatsKeep * b.RepeatRatio,
		RepeatBurst:      1 + slackKeep*b.RepeatSlack/float64(n.shared),
	}
	for _, k := range list {
		cfg.Upstreams = append(cfg.Upstreams, place.Upstream{
			ID: k.ID, AvailabilityZone: k.AvailabilityZone, Slots: k.Slots, ColdUntil: k.ColdUntil, Leaving: k.Leaving,
		})
	}
	all := len(cfg.Upstreams)
	cfg.Upstreams = place.Subset(n.cfg().ID, cfg.AvailabilityZone, cfg.Upstreams)
	if used := len(cfg.Upstreams); used > 0 {
		// An upstream is used by hosts*used/all of the hosts.
		cfg.ProbesPerSecond = probesKeep * b.ProbesPerSecond * float64(all) / float64(n.shared*used)
	}
	return cfg
}

func (n *Node) newRunner(name string) *Dispatcher {
	r := &Dispatcher{
		Service: name, Clock: n.Clock, Pools: n.pools, Decisions: n.decisions,
		placer:  &place.Placer{Service: name, Tuning: place.DefaultTuning(), Rand: newRand()},
		flights: map[route.RequestID]*flight{},
		cancels: map[route.AttemptID]context.CancelCauseFunc{},
	}
	r.timer = time.AfterFunc(time.Hour, r.tick)
	return r
}

// housekeep does what is due from time to time.
func (n *Node) housekeep(ctx context.Context) {
	sweep := time.NewTicker(sweepEvery.Duration())
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sweep.C:
			n.pools.Sweep()
			n.mu.Lock()
			if n.relay.Size() != n.shared {
				n.configure()
			}
			n.mu.Unlock()
		}
	}
}

// planDrop sets when entries that did not come back are dropped. n.mu is held.
func (n *Node) planDrop() {
	at := n.registry.Next()
	if at == 0 {
		return
	}
	time.AfterFunc(max(0, at-n.Clock.Now()).Duration(), func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.registry.Tick(n.Clock.Now()) {
			n.Log.Info("upstreams dropped that did not come back", "entries", n.registry.Len())
			n.configure()
		}
	})
}
