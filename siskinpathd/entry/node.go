// Package entry implements a host: a load-balancing reverse proxy that is the entry
// point for callers' requests and shares its upstreams with all other hosts. It
// routes requests by the operators' configuration and sends each to the upstream
// that is expected to answer it soonest. docs/design-platform.md describes which
// part makes which decision.
package entry

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"siskinpath/core/clock"
	"siskinpath/core/config"
	"siskinpath/core/discovery"
	"siskinpath/core/overlay"
	"siskinpath/core/place"
	"siskinpath/core/quarantine"
	"siskinpath/core/roster"
	"siskinpath/core/route"
	"siskinpath/siskinpathd/forward"
	"siskinpath/siskinpathd/logs"
	"siskinpath/siskinpathd/memory"
	"siskinpath/siskinpathd/relay"
	"siskinpath/siskinpathd/upstream"
	"siskinpath/siskinpathd/watch"
)

const (
	// sweepInterval is how often idle connections to upstreams are checked.
	sweepInterval = 2 * clock.Second
	// repeatBudgetShare is the part of the budget for retries and hedges that is used.
	// The rest covers requests that add to the budget but are then refused.
	repeatBudgetShare = 0.9
	// repeatSlackShare is the part of the slack of that budget that all hosts together
	// may have saved. Each host starts with its share of it, and many hosts may start
	// twice in the period over which retries and hedges are counted.
	repeatSlackShare = 0.25
	// probeBudgetShare is the part of the probe budget that is used, as
	// repeatBudgetShare is for retries and hedges.
	probeBudgetShare = 0.8
)

// Node is a host. Set the exported fields before Run.
type Node struct {
	Settings   *Settings
	Log        *slog.Logger
	LogLimiter *logs.Limiter // limits the lines of Log
	// SettingsPath is the file that Settings were read from. It is not watched if
	// empty.
	SettingsPath string
	// ReloadSignals receives a signal when the file must be read again.
	ReloadSignals   <-chan os.Signal
	Clock           clock.Clock
	Boot            clock.Clock // clock.Boot if nil
	UpstreamDialect *upstream.Dialect
	CallerHeaders   CallerHeaders
	Config          WatchedTable[OperatorsRow]
	Discovery       WatchedTable[*discovery.Upstream]
	Hosts           HostRegistry

	settings         atomic.Pointer[Settings] // settings in force; see cfg
	config           atomic.Pointer[config.Config]
	configUnread     atomic.Bool  // the newest configuration can't be decoded
	configKey        string       // key of the row of the configuration in force; guarded by the table's lock
	discoveryRead    atomic.Bool  // discovery has been read
	drainStart       atomic.Int64 // time at which the drain started; 0 before
	server           *Server
	relay            *relay.Relay
	forwardsInFlight atomic.Int64 // requests of other hosts
	failedStoreCalls atomic.Int64 // failed calls to the store since the last successful one
	pools            *UpstreamPools
	configTable      *watch.Table[OperatorsRow]
	upstreamTable    *watch.Table[*discovery.Upstream]
	hostTable        *watch.Table[roster.Entry]
	hostWatcher      *watch.Watcher
	watchers         []*watch.Watcher
	hosts            *hostList
	decisions        *decisionLog
	crashes          *crashGuard
	forwarder        *forwarder
	forwardServer    *forward.Server // nil without an address for it
	slots            *slotExchange
	quotas           *quotas
	resources        *resources
	bodies           *bodyBudget // bodies of requests of callers and of other hosts
	keyFence         keyFenceState
	hostHeaders      map[string]bool // headers that only hosts set; removed from callers' requests

	mu          sync.Mutex // guards the fields below
	registry    discovery.Registry
	expiry      *time.Timer // of the registry; see scheduleExpiry
	dispatchers map[string]*Dispatcher
	splitter    config.Splitter
	budgetHosts int                    // number of hosts among which the budgets were last divided
	evacuations map[string]*evacuation // by key of the row
	unknownRows map[string]bool        // keys of operators' rows of unknown kinds that have been reported
	coldShares  coldShares
}

// Run serves until ctx ends and the host has been drained.
func (n *Node) Run(ctx context.Context) (err error) {
	n.initialise()
	if err = n.server.Bind(); err != nil {
		return err
	}
	if err = n.relay.Bind(); err != nil {
		return err
	}
	if n.forwardServer != nil {
		if err = n.forwardServer.Bind(); err != nil {
			return err
		}
	}
	if err = n.runOperatorServer(); err != nil {
		return err
	}
	work, stop := context.WithCancel(context.Background())
	defer stop()
	go n.server.Run()
	go n.relay.Run(work)
	if n.forwardServer != nil {
		go n.forwardServer.Run(work)
	}
	for _, w := range n.watchers {
		go w.Run(work)
	}
	go n.maintainRegistration(work)
	go n.runMaintenance(work)
	go n.watchSettings(work)
	go n.watchKeyFence(work)
	go n.watchShares(work)
	n.Log.Info("started", "callers", n.cfg().Listen.Caller, "platform", n.cfg().Platform.Address)
	<-ctx.Done()
	n.drain()
	n.Log.Info("stopped")
	return nil
}

func (n *Node) initialise() {
	n.settings.Store(n.Settings)
	n.registry.MinLapse = n.cfg().Platform.minLapse()
	n.resources = newResources(n.cfg())
	n.resources.replies.Reclaim = func() bool { return n.server.reclaimResponse() }
	n.pools = &UpstreamPools{Clock: n.Clock, Dialect: n.UpstreamDialect, Replies: n.resources.replies, Connections: n.resources.upstreams}
	n.resources.upstreams.MakeRoom = n.pools.closeIdle
	n.bodies = n.resources.bodies
	n.bodies.Reclaim = func() bool { return n.server.reclaimBody() }
	n.decisions = &decisionLog{log: n.Log, clock: n.Clock, limit: n.LogLimiter}
	n.crashes = &crashGuard{Clock: n.Clock, Decisions: n.decisions, Withhold: n.withhold, Announce: func(events []quarantine.Event) { n.relay.AnnounceCrashEvents(events) }}
	n.forwarder = &forwarder{Clock: n.Clock, Replies: n.resources.replies, Memory: n.resources.memory}
	if address := n.cfg().Listen.Forward; address != "" {
		n.forwardServer = &forward.Server{ListenAddress: address, Log: n.Log, Serve: n.serveForward, Reserve: n.reserveForward}
	}
	n.initQuotas()
	n.initSlots()
	n.dispatchers = map[string]*Dispatcher{}
	n.evacuations, n.unknownRows = map[string]*evacuation{}, map[string]bool{}
	n.coldShares.self = n.cfg().ID
	n.splitter.Rand = newRand()
	n.hostHeaders = map[string]bool{n.UpstreamDialect.Instance: true}
	n.initHosts()
	n.initRelay()
	n.hosts.roster.Self = n.relay.Self
	n.initWatchers()
	n.server = &Server{
		ListenAddress: n.cfg().Listen.Caller, Log: n.Log, Clock: n.Clock, RequestIDHeader: n.CallerHeaders.RequestID, MaxConnections: n.resources.maxConnections,
		Limits: n.limits, Bodies: n.bodies, Headers: n.resources.headers, Unread: n.resources.unread,
		Connections: n.resources.connections, Handle: n.handle, DescribeBody: n.describeBody,
	}
}

// memory returns what all that is held for clients shares; nil in tests without limits.
func (n *Node) memory() *memory.Budget {
	if n.resources == nil {
		return nil
	}
	return n.resources.memory
}

// cfg returns the settings in force.
func (n *Node) cfg() *Settings { return n.settings.Load() }

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// Ready returns nil when callers may use this host, and otherwise the reason why not.
func (n *Node) Ready() error {
	switch {
	case n.drainStart.Load() != 0:
		return errDraining
	case n.config.Load() == nil:
		return errNoConfig
	case !n.discoveryRead.Load():
		return errNoDiscovery
	}
	return nil
}

// InFlight returns the number of requests that have not been answered.
func (n *Node) InFlight() int { return n.server.InFlight() + int(n.forwardsInFlight.Load()) }

// defaultLimits apply until the configuration has been read.
var defaultLimits = config.Limits{
	MaxHeaderBytes: 16 << 10,
	MaxBodyBytes:   64 << 20,
	HeaderTimeout:  3 * clock.Second,
	IdleTimeout:    15 * clock.Second,
}

// limits returns the limits in force. Those that the configuration does not set are the
// defaults.
func (n *Node) limits() config.Limits {
	c := n.config.Load()
	if c == nil {
		return defaultLimits
	}
	l := c.Limits
	return config.Limits{
		MaxHeaderBytes: cmp.Or(l.MaxHeaderBytes, defaultLimits.MaxHeaderBytes),
		MaxBodyBytes:   cmp.Or(l.MaxBodyBytes, defaultLimits.MaxBodyBytes),
		HeaderTimeout:  cmp.Or(l.HeaderTimeout, defaultLimits.HeaderTimeout),
		IdleTimeout:    cmp.Or(l.IdleTimeout, defaultLimits.IdleTimeout),
	}
}

// dispatcherFor chooses the service of a request and returns its dispatcher. It
// returns nil if there is none.
func (n *Node) dispatcherFor(r *request) *Dispatcher {
	n.mu.Lock()
	defer n.mu.Unlock()
	r.service = n.splitter.Pick(r.route)
	return n.dispatchers[r.service]
}

// applyOperatorsRows applies rows that operators have written. Evacuations come first, so
// that a host that starts never uses an evacuated zone.
func (n *Node) applyOperatorsRows(rows []watch.DecodedRow[OperatorsRow]) {
	n.applyEvacuations(rows)
	n.warnOfUnknownRows(rows)
	var configs []watch.DecodedRow[*config.Config]
	for _, row := range rows {
		configs = append(configs, watch.DecodedRow[*config.Config]{Key: row.Key, Value: row.Value.Config, Removed: row.Removed, DecodeErr: row.DecodeErr, Revision: row.Revision})
	}
	n.applyConfig(configs)
}

// applyConfig applies a configuration that is newer than the one in force.
func (n *Node) applyConfig(rows []watch.DecodedRow[*config.Config]) {
	for _, row := range rows {
		if row.DecodeErr != nil && row.Key == n.configKey {
			n.configUnread.Store(true)
		}
		if row.Removed || row.DecodeErr != nil || row.Value == nil {
			continue
		}
		n.configKey = row.Key
		n.configUnread.Store(false)
		old := n.config.Load()
		if old != nil && row.Value.Version <= old.Version {
			if row.Value.Version < old.Version {
				n.Log.Warn("older configuration ignored", "version", row.Value.Version, "in_force", old.Version, "row_revision", row.Revision)
			}
			continue
		}
		n.config.Store(row.Value)
		n.mu.Lock()
		n.splitter.Prune(row.Value)
		n.reconfigure()
		n.mu.Unlock()
		n.configureQuotas()
		n.Log.Info("configuration in force", "version", row.Value.Version, "row_version", row.Revision.Version, "row_era", row.Revision.Era,
			"routes", len(row.Value.Routes), "services", len(row.Value.Services),
			"organisations", len(row.Value.Organisations))
		for _, text := range row.Value.Warnings {
			n.Log.Warn("configuration warning", "version", row.Value.Version, "warning", text)
		}
	}
	n.relay.SetReady(n.Ready() == nil)
}

// applyDiscovery applies changed discovery entries of upstreams.
func (n *Node) applyDiscovery(rows []watch.DecodedRow[*discovery.Upstream]) {
	entries := make([]discovery.Entry, 0, len(rows))
	age := n.relay.TableAge(tableUpstreams)
	for _, row := range rows {
		e := discovery.Entry{ID: row.Key, Revision: row.Revision, Missing: row.Missing, LastSeen: age}
		if row.Lost {
			e.LastSeen = overlay.UnknownAge // the store has come back from a copy of any age
		}
		if !row.Removed && row.DecodeErr == nil {
			e.Upstream = row.Value
		}
		entries = append(entries, e)
		n.decisions.logDiscovery(row)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.registry.Apply(n.Clock.Now(), entries) {
		n.reconfigure()
	}
	n.scheduleExpiry()
	if n.discoveryRead.CompareAndSwap(false, true) {
		n.Log.Info("first read of the upstreams complete", "entries", n.registry.Len())
		n.relay.SetReady(n.Ready() == nil)
	}
	n.checkEvacuations()
}

// reconfigure passes the configuration and the upstreams on to the connection pools
// and the dispatchers. n.mu must be held.
func (n *Node) reconfigure() {
	cfg := n.config.Load()
	if cfg == nil {
		return
	}
	n.budgetHosts = n.relay.Size()
	n.coldShares.setMembers(n.holding(fenceInterval))
	var all []discovery.ActiveUpstream
	for name := range cfg.Services {
		list := n.registry.Service(name)
		all = append(all, list...)
		if n.dispatchers[name] == nil {
			n.dispatchers[name] = n.newDispatcher(name)
		}
	}
	n.pools.Configure(all,
		func(service string) string { return cfg.Services[service].HealthPath },
		func(service string) int { return connectionShare(cfg.Services[service].MaxConnections, n.budgetHosts) })
	hosts := n.forwardHosts()
	var chains [][]string
	for name, d := range n.dispatchers {
		upstreams := n.registry.Service(name)
		placing := n.placeConfig(name, upstreams, cfg.Services[name].WarmUpPerSecond, hosts)
		placing.Overload = cfg.KeysRequired || haveFewSlots(upstreams)
		chains = append(chains, placing.Allocators)
		d.Configure(placing)
	}
	n.slots.follow(chains)
}

// fewSlots is the number of slots of an upstream up to which a service counts as often short
// of room: each request that waits there holds up half of the upstream.
const fewSlots = 2

// haveFewSlots reports whether all upstreams of a service have at most fewSlots slots.
func haveFewSlots(upstreams []discovery.ActiveUpstream) bool {
	return len(upstreams) > 0 && !slices.ContainsFunc(upstreams, func(u discovery.ActiveUpstream) bool { return u.Slots > fewSlots })
}

// connectionShare returns this host's share of the connections that an upstream
// accepts; 0 means no limit. Half of the connections are reserved for hosts that
// restart while the connections of the old process are still open.
func connectionShare(limit, hosts int) int {
	if limit <= 0 {
		return 0
	}
	return max(2, limit/(2*hosts))
}

func (n *Node) placeConfig(service string, list []discovery.ActiveUpstream, warmUpPerSecond float64, hosts []place.Host) place.Config {
	b := n.cfg().Budgets
	list, evacuated := n.markEvacuated(list)
	cfg := place.Config{
		Evacuated:        evacuated,
		AvailabilityZone: n.cfg().AvailabilityZone,
		Hosts:            hosts,
		RepeatRatio:      repeatBudgetShare * b.RepeatRatio,
		RepeatBurst:      1 + repeatSlackShare*b.RepeatSlack/float64(n.budgetHosts),
	}
	now := n.Clock.Now()
	elsewhere := 0
	for _, k := range list {
		u := n.placeUpstream(k, warmUpPerSecond)
		if !u.Leaving && place.HeldElsewhere(now, u) {
			elsewhere++
		}
		cfg.Upstreams = append(cfg.Upstreams, u)
	}
	all := countStaying(cfg.Upstreams)
	n.setAllocators(service, &cfg)
	if len(cfg.Allocators) == 0 {
		cfg.Upstreams = place.Subset(now, n.cfg().ID, cfg.AvailabilityZone, cfg.Upstreams)
	}
	used := countStaying(cfg.Upstreams)
	if all > used {
		// The other upstreams are in the subsets of more hosts meanwhile.
		all = max(used, all-elsewhere)
	}
	if used > 0 {
		// Each host uses a subset of the upstreams, so an upstream is used by
		// hosts*used/all of the hosts.
		cfg.LimitShare = min(1, float64(all)/float64(n.budgetHosts*used))
		cfg.ProbesPerSecond = probeBudgetShare * b.ProbesPerSecond * float64(all) / float64(n.budgetHosts*used)
	}
	if len(cfg.Allocators) > 0 {
		cfg.AllocatorProbesPerSecond = allocatorProbeShare * probeBudgetShare * b.ProbesPerSecond
		cfg.ProbesPerSecond *= 1 - allocatorProbeShare
	}
	return cfg
}

// countStaying returns the number of upstreams that are not leaving.
func countStaying(list []place.Upstream) (n int) {
	for _, u := range list {
		if !u.Leaving {
			n++
		}
	}
	return n
}

func (n *Node) newDispatcher(name string) *Dispatcher {
	tuning, _ := n.cfg().Experiment.tuning() // checked with the settings
	d := &Dispatcher{
		Service: name, Clock: n.Clock, Pools: n.pools, Decisions: n.decisions, Crashes: n.crashes, Forwarder: n.forwarder,
		Slots:   n.slots,
		placer:  &place.Placer{Service: name, Tuning: tuning, Rand: newRand()},
		pending: map[route.RequestID]*pendingRequest{},
		cancels: map[route.AttemptID]context.CancelCauseFunc{},
	}
	d.timer = time.AfterFunc(time.Hour, d.tick)
	for _, host := range n.slots.linked() {
		d.placer.AllocatorLinked(host)
	}
	if at := n.drainStart.Load(); at != 0 {
		d.setStop(stopAfter(clock.Millis(at), n.cfg().Shutdown))
	}
	return d
}

// withhold stops those of the running requests of a work that are in quarantine from being
// sent on, whatever their service.
func (n *Node) withhold(work quarantine.Hash) {
	n.mu.Lock()
	list := slices.Collect(maps.Values(n.dispatchers))
	n.mu.Unlock()
	for _, d := range list {
		d.withhold(work)
	}
}

// runMaintenance sweeps idle connections, and reconfigures the host when the number of
// hosts has changed, until ctx ends.
func (n *Node) runMaintenance(ctx context.Context) {
	sweep := time.NewTicker(sweepInterval.Duration())
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sweep.C:
			n.pools.Sweep()
			n.mu.Lock()
			if n.relay.Size() != n.budgetHosts || n.coldShares.setMembers(n.holding(fenceInterval)) {
				n.reconfigure()
			}
			n.mu.Unlock()
			n.configureQuotas()
			n.quotas.sweep()
		}
	}
}

// scheduleExpiry sets the timer that removes upstreams which were missing from a full
// read and have not reappeared. n.mu must be held.
func (n *Node) scheduleExpiry() {
	at := n.registry.Next()
	if at == 0 {
		return
	}
	wait := max(0, at-n.Clock.Now()).Duration()
	if n.expiry == nil {
		n.expiry = time.AfterFunc(wait, n.expire)
		return
	}
	n.expiry.Reset(wait)
}

func (n *Node) expire() {
	n.mu.Lock()
	defer n.mu.Unlock()
	dropped, released := n.registry.Tick(n.Clock.Now())
	if dropped > 0 {
		n.Log.Info("upstreams dropped that did not come back", "dropped", dropped, "entries", n.registry.Len())
	}
	if released > 0 {
		n.Log.Info("restored upstreams in use again", "released", released, "entries", n.registry.Len())
	}
	if dropped+released > 0 {
		n.reconfigure()
	}
	n.scheduleExpiry()
}
