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
	// idleSweepInterval is the interval at which expired idle connections are closed.
	idleSweepInterval = 10 * clock.Second
	// maintenanceInterval is the interval at which the key window is announced to
	// the fleet and expired idempotency records are removed.
	maintenanceInterval = 500 * clock.Millisecond
	// drainPollInterval is the interval at which markDrained checks for attempts that
	// are still in flight at upstreams this host no longer owns.
	drainPollInterval = 10 * clock.Millisecond
)

// Node holds all components of the daemon. The dig container fills it in.
type Node struct {
	dig.In

	Settings  *settings.Settings
	Log       *slog.Logger
	Clock     clock.Clock
	Self      membership.Host
	Keeper    *filter.LockedKeyRegistry
	Claims    *claim.Committer
	Transport *peer.Transport
	Fleet     *follow.Driver
	Upstreams *upstream.Set
	Probes    *probeBudget
	Services  *service.Set
	Chain     *filter.Chain
	Hops      *hop.Server
	Callers   *caller.Server
	Addresses *addressResolver
	Operators *operator.Server
}

func (n *Node) run() (err error) {
	sigs := notifySignals()
	ln, err := n.Callers.Bind()
	if err != nil {
		return err
	}
	n.setCallbacks()
	n.announceKeyWindow()
	ctx, fail := context.WithCancelCause(context.Background())
	stopTransport := startBackground(func(ctx context.Context) { runComponent(ctx, fail, n.Transport.Run) })
	stopCallers := startBackground(func(ctx context.Context) { n.serveCallers(ctx, fail, ln) })
	var stopOthers []func()
	for _, f := range []func(context.Context) error{n.Operators.Run, n.runFleet, n.runClaims, n.runMaintenance} {
		stopOthers = append(stopOthers, startBackground(func(ctx context.Context) { runComponent(ctx, fail, f) }))
	}
	n.Log.Info("started", "incarnation", n.Self.Incarnation, "callers", n.Settings.Listen.Caller)
	select {
	case <-ctx.Done():
		err = context.Cause(ctx)
	case <-sigs:
		n.leave(sigs)
	}
	n.drain(sigs)
	stopCallers()
	for _, stop := range stopOthers {
		stop()
	}
	// The peer port must close last, because peers take a closed port as proof that
	// this process is dead.
	stopTransport()
	n.Log.Info("stopped")
	return err
}

// startBackground runs f in a goroutine. The returned function cancels f's context
// and waits until f returns.
func startBackground(f func(ctx context.Context)) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

func (n *Node) serveCallers(ctx context.Context, fail context.CancelCauseFunc, ln net.Listener) {
	if err := n.Callers.Run(ctx, ln); err != nil && ctx.Err() == nil {
		fail(err)
	}
}

// setCallbacks sets the callbacks between components that call each other, which
// constructor arguments cannot express.
func (n *Node) setCallbacks() {
	n.Transport.OnCall = n.Hops.Serve
	n.Transport.OnDigest = n.handleDigest
	n.Transport.OnHeartbeat = n.Fleet.HandleHeartbeat
	n.Transport.OnDeath = n.Fleet.HandleDeath
	n.Transport.OnFetch = n.Fleet.CopiesNewerThan
	n.Transport.OnTableCopy = n.Fleet.HandleTableCopy
	n.Transport.OnAssignmentCopy = n.Fleet.HandleAssignmentCopy
	n.Fleet.OnTableChange = func(*table.Table) { n.configure() }
	n.Fleet.OnRightsChange = n.configure
	n.Operators.State = n.state
	n.Operators.Hosts = n.hosts
	n.Operators.Health = n.checkHealth
}

// configure applies a change of the table, the rights or the owners.
func (n *Node) configure() {
	t := n.Fleet.Table()
	if t == nil {
		return
	}
	epoch := n.Fleet.Epoch() // read before the rights, which may be newer
	rights := n.Fleet.Rights()
	n.Upstreams.Configure(t)
	n.Probes.configure(t, rights)
	n.Services.Configure(service.Inputs{Table: t, Rights: rights, Owners: n.Fleet.OwnerHosts})
	go n.markDrained(epoch)
}

// markDrained marks an epoch as drained once no attempt is in flight any more at
// upstreams that this host no longer owns. It waits no longer than the handover
// timeout, after which the fleet stops waiting too.
func (n *Node) markDrained(epoch uint64) {
	deadline := n.Clock.Now() + membership.DefaultHandoverTimeout
	for n.Services.RevokedAttempts() > 0 && n.Clock.Now() < deadline {
		time.Sleep(drainPollInterval.Duration())
	}
	n.Fleet.MarkDrained(epoch)
}

func (n *Node) handleDigest(hostID string, d route.Digest, service string) {
	r := n.Services.Get(service)
	if r == nil {
		return
	}
	d.Host = hostID
	r.ReceiveDigest(d)
}

// checkHealth returns an error if callers should not use this host.
func (n *Node) checkHealth() error {
	if err := n.Fleet.Health(); err != nil {
		return err
	}
	return n.Addresses.checkReady()
}

func (n *Node) runFleet(ctx context.Context) error {
	n.Fleet.Run(ctx)
	return nil
}

func (n *Node) runClaims(ctx context.Context) error {
	n.Claims.Run(ctx)
	return nil
}

func (n *Node) runMaintenance(ctx context.Context) error {
	maintenance := time.NewTicker(maintenanceInterval.Duration())
	defer maintenance.Stop()
	sweep := time.NewTicker(idleSweepInterval.Duration())
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-sweep.C:
			n.Upstreams.Sweep()
		case <-maintenance.C:
			n.Keeper.WithLock(func(now clock.Millis, k *idempotency.KeyRegistry) { k.Tick(now) })
			n.announceKeyWindow()
		}
	}
}

func (n *Node) announceKeyWindow() {
	var window uint32
	n.Keeper.WithLock(func(now clock.Millis, k *idempotency.KeyRegistry) { window = k.Window(now) })
	n.Fleet.SetKeyWindow(window)
}

// leave begins a graceful shutdown. The host is no longer returned to callers that
// ask for addresses, and gives up its upstreams. It continues to serve until the
// addresses that callers have cached expire. A second signal ends the wait.
func (n *Node) leave(sigs <-chan os.Signal) {
	n.Log.Info("leaving", "grace_ms", n.Settings.Shutdown.GraceMs)
	n.Fleet.SetLeaving()
	select {
	case <-time.After(clock.Millis(n.Settings.Shutdown.GraceMs).Duration()):
	case <-sigs:
		n.Log.Info("received a second signal; skipping the rest of the grace period")
	}
}

// drain closes callers' connections between requests and waits for the requests
// in flight. A further signal ends the wait.
func (n *Node) drain(sigs <-chan os.Signal) {
	n.Callers.DisableKeepAlive()
	drained := make(chan struct{})
	go func() {
		n.Callers.Drain(clock.Millis(n.Settings.Shutdown.DrainMs), n.Chain.Admission.InFlight)
		close(drained)
	}()
	select {
	case <-drained:
	case <-sigs:
		n.Log.Warn("received another signal; stopping with requests in flight", "in_flight", n.Chain.Admission.InFlight())
	}
}
