// Package follow drives the decisions about members and the table: it feeds
// them what the platform and the other hosts say, and carries out what they ask.
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

// Platform is the part of the platform that the driver needs.
type Platform interface {
	Read(ctx context.Context, keys ...string) ([]platform.Row, error)
	ReadVersions(ctx context.Context, keys ...string) ([]platform.Row, error)
	Transact(ctx context.Context, t platform.Transaction) (platform.Result, error)
	Hosts(ctx context.Context) ([]membership.ListedHost, error)
}

// Transport is the part of the links to other hosts that the driver needs.
type Transport interface {
	Bind() error
	Dial(host membership.Host)
	RetainHosts(ids []string)
	SendHeartbeat(to membership.Host, hb membership.Heartbeat)
	FetchUpdates(hostID string, tableVersion, epoch uint64)
}

// Spans of the driver.
const (
	defaultPoll = 500 * clock.Millisecond
	hostsEvery  = clock.Second            // at least, between two looks at the list of hosts
	hostsPart   = 200 * clock.Millisecond // for each host listed, so that the list costs the same for any number
	minSleep    = clock.Millisecond
	jitterPart  = 5 // of a span, as a divisor
)

// Driver owns a membership.View and a table.Follower. Set the fields before Run. Its
// methods may be called from many goroutines, also before Run.
type Driver struct {
	Self         membership.Host
	Clock        clock.Clock
	Platform     Platform
	Transport    Transport
	PollInterval clock.Millis // between two looks at the platform; 0 means 500 ms
	Rand         *rand.Rand   // nil means seeded by the incarnation
	Counters     *metrics.Set // nil means the process's default set
	Logger       *slog.Logger // nil means slog's default

	// OnTableChange and OnRightsChange are told of changes, one call at a time, without a
	// lock held. Changes that come quickly after one another are told once.
	// OnRightsChange is also told when the owners of any service change.
	OnTableChange  func(t *table.Table)
	OnRightsChange func()

	once   sync.Once
	count  counters
	kick   chan struct{} // asks for a look at the platform at once
	notify chan struct{}

	inForce atomic.Pointer[table.Table]

	mu         sync.Mutex
	view       *membership.View
	follower   *table.Follower
	assignment assignmentRow // the row that the view has taken
	writes     chan membership.Assignment
	platform   platformState
	newRights  bool
	toldTable  uint64
	lastReach  reach                      // what OnRightsChange last stood for
	addresses  map[string]membership.Host // by id, as processes gave them themselves
}

func (d *Driver) start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.PollInterval <= 0 {
		d.PollInterval = defaultPoll
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
	d.kick = make(chan struct{}, 1)
	d.notify = make(chan struct{}, 1)
	d.writes = make(chan membership.Assignment, 1)
	d.view = &membership.View{Self: d.Self, DelayReports: true, Rand: rand.New(rand.NewPCG(d.Rand.Uint64(), d.Rand.Uint64()))}
	d.follower = &table.Follower{Self: d.Self.ID}
}

// Run works until ctx is done. It tells nobody of this incarnation before the
// link's port is open; when that fails, the link's own Run says so.
func (d *Driver) Run(ctx context.Context) {
	d.once.Do(d.start)
	if d.Transport.Bind() != nil {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { d.tick(ctx) })
	wg.Go(func() { d.pollRows(ctx) })
	wg.Go(func() { d.pollHosts(ctx) })
	wg.Go(func() { d.writeAssignments(ctx) })
	wg.Go(func() { d.tell(ctx) })
	wg.Wait()
}

// tick wakes the view whenever it asks to be woken.
func (d *Driver) tick(ctx context.Context) {
	for ctx.Err() == nil {
		var next clock.Millis
		d.do(func(now clock.Millis) []membership.Action {
			actions := d.view.Tick(now)
			d.noteOwners()
			next = d.view.NextTick() - now
			return actions
		})
		sleep(ctx, nil, max(next, minSleep))
	}
}

// do runs one event on the state machines and carries out the view's actions.
func (d *Driver) do(event func(now clock.Millis) []membership.Action) {
	d.once.Do(d.start)
	d.mu.Lock()
	now := d.Clock.Now()
	actions := event(now)
	d.noteEpoch(now)
	if t := d.follower.InForce(); t != nil && t.Version != d.toldTable {
		d.toldTable = t.Version
		d.inForce.Store(t)
		d.changed()
		d.count.tableVersion.Set(t.Version)
		d.Logger.Info("table in force", "version", t.Version)
		actions = append(actions, d.view.SetTable(now, t)...)
	}
	d.mu.Unlock()
	for _, a := range actions {
		d.carryOut(a)
	}
}

// carryOut does what the view asks. Nothing here blocks.
func (d *Driver) carryOut(a membership.Action) {
	switch a.Kind {
	case membership.SendHeartbeat:
		d.Transport.SendHeartbeat(a.Host, a.Heartbeat)
	case membership.Dial:
		d.dial(a.Host)
	case membership.FetchUpdates:
		version, epoch := d.have()
		d.Transport.FetchUpdates(a.Host.ID, version, epoch)
	case membership.WriteAssignment:
		d.writes <- a.Assignment // the view asks for one at a time
	case membership.RightsChanged:
		d.mu.Lock()
		d.changed()
		d.mu.Unlock()
	}
}

// have gives the newest table and assignment here, with a copy held back.
func (d *Driver) have() (version, epoch uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(d.follower.Version(), d.follower.State().DeferredVersion), d.view.Epoch()
}

// changed makes OnRightsChange be called. Called with d.mu held.
func (d *Driver) changed() {
	d.newRights = true
	signal(d.notify)
}

// tell calls OnTableChange and OnRightsChange until ctx is done.
func (d *Driver) tell(ctx context.Context) {
	var told uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.notify:
		}
		d.mu.Lock()
		t, rights := d.follower.InForce(), d.newRights
		d.newRights = false
		d.mu.Unlock()
		if t != nil && t.Version != told {
			told = t.Version
			d.OnTableChange(t)
		}
		if rights {
			d.OnRightsChange()
		}
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleep waits for span, for wake, or for the end of ctx.
func sleep(ctx context.Context, wake <-chan struct{}, span clock.Millis) {
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-timer.C:
	}
}
