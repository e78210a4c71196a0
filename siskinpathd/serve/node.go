package serve

import (
	"context"
	"log/slog"
	"net"
	"os"
	"time"

	"go.uber.org/dig"

	"siskinpath/core/clock"
	"siskinpath/core/idempotency"
	"siskinpath/core/membership"
	"siskinpath/core/route"
	"siskinpath/core/table"
	"siskinpath/siskinpathd/caller"
	"siskinpath/siskinpathd/claim"
	"siskinpath/siskinpathd/filter"
	"siskinpath/siskinpathd/hop"
	"siskinpath/siskinpathd/operator"
	"siskinpath/siskinpathd/peer"
	"siskinpath/siskinpathd/peer/follow"
	"siskinpath/siskinpathd/service"
	"siskinpath/siskinpathd/settings"
	"siskinpath/siskinpathd/upstream"
)

const (
	// sweepTurn is how often idle connections are looked over.
	sweepTurn = 10 * clock.Second
	// housekeepingTurn is how often the key window is told to the fleet and
	// records that are no longer retained are dropped.
	housekeepingTurn = 500 * clock.Millisecond
	// releaseTurn is how often attempts at lost upstreams are looked for.
	releaseTurn = 10 * clock.Millisecond
)

// Node is the daemon: all of its parts.
type Node struct {
	dig.In

	Settings  *settings.Settings
	Log       *slog.Logger
	Clock     clock.Clock
	Self      membership.Host
	Keeper    *filter.LockedKeyRegistry
	Claims    *claim.Committer
	Link      *peer.Transport
	Fleet     *follow.Driver
	Upstreams *upstream.Set
	Probes    *probes
	Services  *service.Set
	Chain     *filter.Chain
	Hops      *hop.Server
	Callers   *caller.Server
	Addresses *addresses
	Operators *operator.Server
}

func (n *Node) run() (err error) {
	got := signals()
	ln, err := n.Callers.Bind()
	if err != nil {
		return err
	}
	n.join()
	n.tellKeyWindow()
	ctx, stop := context.WithCancelCause(context.Background())
	endLink := start(func(ctx context.Context) { untilDone(ctx, stop, n.Link.Run) })
	endCallers := start(func(ctx context.Context) { n.serveCallers(ctx, stop, ln) })
	var others []func()
	for _, f := range []func(context.Context) error{n.Operators.Run, n.follow, n.claims, n.housekeep} {
		others = append(others, start(func(ctx context.Context) { untilDone(ctx, stop, f) }))
	}
	n.Log.Info("started", "incarnation", n.Self.Incarnation, "callers", n.Settings.Listen.Caller)
	select {
	case <-ctx.Done():
		err = context.Cause(ctx)
	case <-got:
		n.leave(got)
	}
	n.drain(got)
	endCallers()
	for _, end := range others {
		end()
	}
	// The peer port closes last: a closed port is proof that this process is dead.
	endLink()
	n.Log.Info("stopped")
	return err
}

// start runs f and returns what ends it and waits for its end.
func start(f func(ctx context.Context)) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f(ctx)
	}()
	return func() {
		cancel()
		<-ended
	}
}

func (n *Node) serveCallers(ctx context.Context, stop context.CancelCauseFunc, ln net.Listener) {
	if err := n.Callers.Run(ctx, ln); err != nil && ctx.Err() == nil {
		stop(err)
	}
}

// join connects the parts that call each other.
func (n *Node) join() {
	n.Link.OnCall = n.Hops.Serve
	n.Link.OnDigest = n.digest
	n.Link.OnHeartbeat = n.Fleet.HandleHeartbeat
	n.Link.OnDeath = n.Fleet.HandleDeath
	n.Link.OnFetch = n.Fleet.CopiesNewerThan
	n.Link.OnTableCopy = n.Fleet.HandleTableCopy
	n.Link.OnAssignmentCopy = n.Fleet.HandleAssignmentCopy
	n.Fleet.OnTableChange = func(*table.Table) { n.configure() }
	n.Fleet.OnRightsChange = n.configure
	n.Operators.State = n.state
	n.Operators.Hosts = n.hosts
	n.Operators.Health = n.health
}

// configure follows a change of the table, the rights or the owners.
func (n *Node) configure() {
	t := n.Fleet.Table()
	if t == nil {
		return
	}
	epoch := n.Fleet.Epoch() // before the rights, which may be newer
	rights := n.Fleet.Rights()
	n.Upstreams.Configure(t)
	n.Probes.configure(t, rights)
	n.Services.Configure(service.Inputs{Table: t, Rights: rights, Owners: n.Fleet.OwnerHosts})
	go n.release(epoch)
}

// release tells the fleet of an epoch once nothing is in flight any more at
// upstreams that this host has lost. It gives up waiting when the fleet does.
func (n *Node) release(epoch uint64) {
	end := n.Clock.Now() + membership.DefaultHandoverTimeout
	for n.Services.RevokedAttempts() > 0 && n.Clock.Now() < end {
		time.Sleep(releaseTurn.Duration())
	}
	n.Fleet.MarkDrained(epoch)
}

func (n *Node) digest(hostID string, d route.Digest, name string) {
	r := n.Services.Get(name)
	if r == nil {
		return
	}
	d.Host = hostID
	r.ReceiveDigest(d)
}

// health tells why this host should not be offered to callers.
func (n *Node) health() error {
	if err := n.Fleet.Health(); err != nil {
		return err
	}
	return n.Addresses.ready()
}

func (n *Node) follow(ctx context.Context) error {
	n.Fleet.Run(ctx)
	return nil
}

func (n *Node) claims(ctx context.Context) error {
	n.Claims.Run(ctx)
	return nil
}

func (n *Node) housekeep(ctx context.Context) error {
	turn := time.NewTicker(housekeepingTurn.Duration())
	defer turn.Stop()
	sweep := time.NewTicker(sweepTurn.Duration())
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-sweep.C:
			n.Upstreams.Sweep()
		case <-turn.C:
			n.Keeper.WithLock(func(now clock.Millis, k *idempotency.KeyRegistry) { k.Tick(now) })
			n.tellKeyWindow()
		}
	}
}

func (n *Node) tellKeyWindow() {
	var window uint32
	n.Keeper.WithLock(func(now clock.Millis, k *idempotency.KeyRegistry) { window = k.Window(now) })
	n.Fleet.SetKeyWindow(window)
}

// leave begins a graceful shutdown: the host leaves the answers to callers, gives
// up its upstreams, and serves on until kept answers have run out. A second
// signal ends the wait.
func (n *Node) leave(got <-chan os.Signal) {
	n.Log.Info("leaving", "grace_ms", n.Settings.Shutdown.GraceMs)
	n.Fleet.SetLeaving()
	select {
	case <-time.After(clock.Millis(n.Settings.Shutdown.GraceMs).Duration()):
	case <-got:
		n.Log.Info("leaving at once, on a second signal")
	}
}

// drain closes callers' connections between requests and waits for what is in
// flight. A further signal ends the wait.
func (n *Node) drain(got <-chan os.Signal) {
	n.Callers.DisableKeepAlive()
	drained := make(chan struct{})
	go func() {
		n.Callers.Drain(clock.Millis(n.Settings.Shutdown.DrainMs), n.Chain.Admission.InFlight)
		close(drained)
	}()
	select {
	case <-drained:
	case <-got:
		n.Log.Warn("stopping with requests in flight, on a further signal", "in_flight", n.Chain.Admission.InFlight())
	}
}
