// Package follow holds the Driver, which feeds a membership.View and a table.Follower
// with data from the platform and the other hosts, and performs the actions that
// they request.
package follow

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"siskinpath/core/clock"
	"siskinpath/core/membership"
	"siskinpath/core/table"
	"siskinpath/siskinpathd/platform"
)

// Platform is the subset of the platform client that the driver uses.
type Platform interface {
	Read(ctx context.Context, keys ...string) ([]platform.Row, error)
	ReadVersions(ctx context.Context, keys ...string) ([]platform.Row, error)
	Transact(ctx context.Context, t platform.Transaction) (platform.Result, error)
	Hosts(ctx context.Context) ([]membership.ListedHost, error)
}

// Transport is the subset of peer.Transport that the driver uses.
type Transport interface {
	Bind() error
	Dial(host membership.Host)
	RetainHosts(ids []string)
	SendHeartbeat(to membership.Host, hb membership.Heartbeat)
	FetchUpdates(hostID string, tableVersion, epoch uint64)
}

// Intervals of the driver.
const (
	defaultPollInterval  = 500 * clock.Millisecond
	minHostsInterval     = clock.Second            // shortest interval between two reads of the list of hosts
	hostsIntervalPerHost = 200 * clock.Millisecond // per listed host, so that the list costs each host the same for any number of hosts
	minSleep             = clock.Millisecond
	jitterDivisor        = 5 // intervals vary by up to 1/jitterDivisor in either direction
)

// Driver owns a membership.View and a table.Follower. The fields must be set before
// Run is called. The methods may be called concurrently, also before Run.
type Driver struct {
	Self         membership.Host
	Clock        clock.Clock
	Platform     Platform
	Transport    Transport
	PollInterval clock.Millis // between two reads of the platform; 0 means 500 ms
	Rand         *rand.Rand   // nil means seeded with the incarnation
	Counters     *metrics.Set // nil means metrics.GetDefaultSet
	Logger       *slog.Logger // nil means slog.Default

	// OnTableChange and OnRightsChange are called after changes, one at a time and
	// without a lock held. Changes in quick succession may cause only one call.
	// OnRightsChange is also called when the owners of any service change.
	OnTableChange  func(t *table.Table)
	OnRightsChange func()

	once    sync.Once
	count   counters
	pollNow chan struct{} // requests a read of the platform without delay
	notify  chan struct{} // requests a run of the callbacks

	inForce atomic.Pointer[table.Table]

	mu               sync.Mutex
	view             *membership.View
	follower         *table.Follower
	assignment       assignmentRow // the row that the view has adopted
	writes           chan membership.Assignment
	platform         platformState
	rightsChanged    bool
	publishedVersion uint64
	lastReachability reachability               // as of the last check by checkOwners
	addresses        map[string]membership.Host // by id; as announced by the processes themselves
}

func (d *Driver) setDefaults() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.PollInterval <= 0 {
		d.PollInterval = defaultPollInterval
	}
	if d.Rand == nil {
		d.Rand = rand.New(rand.NewPCG(uint64(d.Self.Incarnation), 1))
	}
	if d.Counters == nil {
		d.Counters = metrics.GetDefaultSet()
	}
	if d.Logger == nil {
		d.Logger = slog.Default()
	}
	d.count = newCounters(d.Counters)
	d.pollNow = make(chan struct{}, 1)
	d.notify = make(chan struct{}, 1)
	d.writes = make(chan membership.Assignment, 1)
	d.view = &membership.View{Self: d.Self, DelayReports: true, Rand: rand.New(rand.NewPCG(d.Rand.Uint64(), d.Rand.Uint64()))}
	d.follower = &table.Follower{Self: d.Self.ID}
}

// Run drives the state machines until ctx is done. It opens the port of the transport
// first, so that no other host learns of this incarnation before the port is open.
// If that fails, Run returns, and the Run method of the transport reports the error.
func (d *Driver) Run(ctx context.Context) {
	d.once.Do(d.setDefaults)
	if d.Transport.Bind() != nil {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { d.runTicks(ctx) })
	wg.Go(func() { d.pollRows(ctx) })
	wg.Go(func() { d.pollHosts(ctx) })
	wg.Go(func() { d.writeAssignments(ctx) })
	wg.Go(func() { d.runCallbacks(ctx) })
	wg.Wait()
}

// runTicks calls the view's Tick at the times that the view requests.
func (d *Driver) runTicks(ctx context.Context) {
	for ctx.Err() == nil {
		var next clock.Millis
		d.handle(func(now clock.Millis) []membership.Action {
			actions := d.view.Tick(now)
			d.checkOwners()
			next = d.view.NextTick() - now
			return actions
		})
		sleep(ctx, nil, max(next, minSleep))
	}
}

// handle runs one event on the state machines and performs the actions of the view.
func (d *Driver) handle(event func(now clock.Millis) []membership.Action) {
	d.once.Do(d.setDefaults)
	d.mu.Lock()
	now := d.Clock.Now()
	actions := event(now)
	d.applyEpoch(now)
	if t := d.follower.InForce(); t != nil && t.Version != d.publishedVersion {
		d.publishedVersion = t.Version
		d.inForce.Store(t)
		d.markRightsChanged()
		d.count.tableVersion.Set(t.Version)
		d.Logger.Info("table in force", "version", t.Version)
		actions = append(actions, d.view.SetTable(now, t)...)
	}
	d.mu.Unlock()
	for _, a := range actions {
		d.perform(a)
	}
}

// perform executes an action of the view. It does not block.
func (d *Driver) perform(a membership.Action) {
	switch a.Kind {
	case membership.SendHeartbeat:
		d.Transport.SendHeartbeat(a.Host, a.Heartbeat)
	case membership.Dial:
		d.dial(a.Host)
	case membership.FetchUpdates:
		version, epoch := d.newestVersions()
		d.Transport.FetchUpdates(a.Host.ID, version, epoch)
	case membership.WriteAssignment:
		d.writes <- a.Assignment // does not block: the view requests one write at a time
	case membership.RightsChanged:
		d.mu.Lock()
		d.markRightsChanged()
		d.mu.Unlock()
	}
}

// newestVersions returns the version of the newest table that this host has, including
// a deferred copy, and the epoch of its assignment.
func (d *Driver) newestVersions() (version, epoch uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(d.follower.Version(), d.follower.State().DeferredVersion), d.view.Epoch()
}

// markRightsChanged schedules a call of OnRightsChange. It must be called with d.mu
// held.
func (d *Driver) markRightsChanged() {
	d.rightsChanged = true
	wake(d.notify)
}

// runCallbacks calls OnTableChange and OnRightsChange after changes until ctx is done.
func (d *Driver) runCallbacks(ctx context.Context) {
	var lastVersion uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.notify:
		}
		d.mu.Lock()
		t, rights := d.follower.InForce(), d.rightsChanged
		d.rightsChanged = false
		d.mu.Unlock()
		if t != nil && t.Version != lastVersion {
			lastVersion = t.Version
			d.OnTableChange(t)
		}
		if rights {
			d.OnRightsChange()
		}
	}
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleep waits until span has passed, signal receives a value or ctx is done.
func sleep(ctx context.Context, signal <-chan struct{}, span clock.Millis) {
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-signal:
	case <-timer.C:
	}
}
