// Package serve constructs the components of the daemon, connects them and runs
// them.
package serve

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"go.uber.org/dig"

	"siskinpath/core/clock"
	"siskinpath/core/idempotency"
	"siskinpath/core/membership"
	"siskinpath/core/route"
	"siskinpath/siskinpathd/caller"
	"siskinpath/siskinpathd/claim"
	"siskinpath/siskinpathd/filter"
	"siskinpath/siskinpathd/hop"
	"siskinpath/siskinpathd/operator"
	"siskinpath/siskinpathd/peer"
	"siskinpath/siskinpathd/peer/follow"
	"siskinpath/siskinpathd/platform"
	"siskinpath/siskinpathd/service"
	"siskinpath/siskinpathd/settings"
	"siskinpath/siskinpathd/upstream"
)

// providers are the constructors of the components. Each takes the components that
// it depends on as arguments.
var providers = []any{
	newLog,
	newClock,
	newSelf,
	newPlatform,
	newKeeper,
	newCommitter,
	newTransport,
	newFleet,
	newHosts,
	newUpstreams,
	newProbeBudget,
	newServices,
	newChain,
	newHopServer,
	newAddressResolver,
	newCallerServer,
	newOperatorServer,
}

// Run serves until SIGTERM or SIGINT, then shuts down gracefully. It returns once
// the requests in flight have been answered, or once the time allowed for draining
// has passed. It also shuts down, and returns an error, if a component fails.
func Run(cfg *settings.Settings) (err error) {
	c := dig.New()
	if err := c.Provide(func() *settings.Settings { return cfg }); err != nil {
		return err
	}
	for _, p := range providers {
		if err := c.Provide(p); err != nil {
			return err
		}
	}
	err = c.Invoke(func(n Node) error { return n.run() })
	return dig.RootCause(err)
}

func newLog(cfg *settings.Settings) (*slog.Logger, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(cfg.Log.Level)); err != nil {
		return nil, errors.WithMessage(err, "log.level")
	}
	opts := &slog.HandlerOptions{Level: level}
	var h slog.Handler = slog.NewTextHandler(os.Stderr, opts)
	if cfg.Log.Format == "json" {
		h = slog.NewJSONHandler(os.Stderr, opts)
	}
	log := slog.New(h).With("host", cfg.ID)
	slog.SetDefault(log)
	return log, nil
}

func newClock() clock.Clock { return clock.NewSystem() }

// newSelf describes this host. It chooses a random incarnation, which identifies this
// run of the process and is never 0.
func newSelf(cfg *settings.Settings) membership.Host {
	return membership.Host{
		ID:               cfg.ID,
		Incarnation:      membership.Incarnation(rand.Uint64() | 1),
		AvailabilityZone: cfg.AvailabilityZone,
		PeerAddress:      cfg.Listen.Peer,
		CallerAddress:    cfg.Listen.Caller,
		OperatorAddress:  cfg.Listen.Operator,
	}
}

func newPlatform(cfg *settings.Settings) *platform.Client {
	return &platform.Client{Address: cfg.Platform.Address, Timeout: clock.Millis(cfg.Platform.TimeoutMs)}
}

func newKeeper(self membership.Host, c clock.Clock) *filter.LockedKeyRegistry {
	return &filter.LockedKeyRegistry{Clock: c, Registry: &idempotency.KeyRegistry{Incarnation: uint64(self.Incarnation), Host: self.ID}}
}

func newCommitter(k *filter.LockedKeyRegistry, p *platform.Client, f *follow.Driver, log *slog.Logger) *claim.Committer {
	p.OnNewEra = func(era uint64) {
		log.Warn("platform came back from an older copy; no key is claimed for a while", "era", era)
		k.WithLock(func(now clock.Millis, r *idempotency.KeyRegistry) { r.StoreRestored(now) })
	}
	c := claim.New(k, p)
	c.Reachable = f.PlatformReachable
	return c
}

func newTransport(cfg *settings.Settings, self membership.Host, log *slog.Logger) *peer.Transport {
	return &peer.Transport{Self: self, Listen: cfg.Listen.Peer, MaxBodyBytes: cfg.Limits.MaxBodyBytes, Logger: log}
}

func newFleet(cfg *settings.Settings, self membership.Host, c clock.Clock, tr *peer.Transport, p *platform.Client, log *slog.Logger) *follow.Driver {
	return &follow.Driver{Self: self, Clock: c, Transport: tr, Platform: p, PollInterval: clock.Millis(cfg.Platform.PollMs), Logger: log}
}

func newHosts(tr *peer.Transport, c clock.Clock, f *follow.Driver) *hop.Client {
	return &hop.Client{Transport: tr, Clock: c, Lookup: func(inc uint64) (string, idempotency.HostStatus) { return findIncarnation(f, inc) }}
}

// mayUse returns a function that reports whether this host may currently send to an
// upstream.
func mayUse(f *follow.Driver) func(service, upstream string) bool {
	return func(service, upstream string) bool {
		full, reduced := f.Holds(service, upstream)
		return full || reduced
	}
}

func newUpstreams(c clock.Clock) *upstream.Set { return &upstream.Set{Clock: c} }

func newServices(cfg *settings.Settings, c clock.Clock, u *upstream.Set, h *hop.Client, f *follow.Driver, p *probeBudget) *service.Set {
	return &service.Set{
		AvailabilityZone: cfg.AvailabilityZone,
		HostID:           cfg.ID,
		NewRunner: func(name string) *service.Runner {
			return &service.Runner{
				Service:      name,
				HostID:       cfg.ID,
				Clock:        c,
				Shard:        &route.Shard{Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))},
				Upstreams:    u,
				Hosts:        h,
				MayUse:       mayUse(f),
				MayProbe:     p.allow,
				MaxBodyBytes: cfg.Limits.MaxBodyBytes,
			}
		},
	}
}

func newChain(cfg *settings.Settings, c clock.Clock, f *follow.Driver, k *filter.LockedKeyRegistry, cl *claim.Committer, h *hop.Client, s *service.Set) *filter.Chain {
	return &filter.Chain{
		Lookup:      &filter.Lookup{Table: f.Table},
		Deadline:    &filter.Deadline{Clock: c, Table: f.Table},
		Admission:   &filter.Admission{MaxInFlight: int64(cfg.Limits.MaxInFlight)},
		Idempotency: &filter.Idempotency{Clock: c, Registry: k, Claimer: cl, Hosts: h},
		Dispatch:    &filter.Dispatch{Services: s},
	}
}

func newHopServer(c clock.Clock, ch *filter.Chain, s *service.Set) *hop.Server {
	return &hop.Server{Clock: c, FromHost: ch.FromHost(), FromCaller: ch.FromCaller(), LocalDigest: s.LocalDigest}
}

func newAddressResolver(c clock.Clock, f *follow.Driver) *addressResolver {
	return &addressResolver{fleet: f, clock: c}
}

func newCallerServer(cfg *settings.Settings, c clock.Clock, ch *filter.Chain, a *addressResolver) *caller.Server {
	return &caller.Server{
		Listen:         cfg.Listen.Caller,
		HostID:         cfg.ID,
		Clock:          c,
		Chain:          ch.FromCaller(),
		Addresses:      a.resolve,
		MaxBodyBytes:   cfg.Limits.MaxBodyBytes,
		MaxHeaderBytes: cfg.Limits.MaxHeaderBytes,
		MaxConnections: cfg.Limits.MaxConnections,
	}
}

func newOperatorServer(cfg *settings.Settings) *operator.Server {
	return &operator.Server{Listen: cfg.Listen.Operator}
}

// notifySignals returns a channel that receives each SIGTERM and SIGINT.
func notifySignals() chan os.Signal {
	ch := make(chan os.Signal, 4)
	signal.Notify(ch, syscall.SIGTERM, syscall.SIGINT)
	return ch
}

// runComponent runs f until ctx is done. If f fails before that, runComponent calls
// fail with the error, which shuts the daemon down.
func runComponent(ctx context.Context, fail context.CancelCauseFunc, f func(context.Context) error) {
	if err := f(ctx); err != nil && ctx.Err() == nil {
		fail(err)
	}
}
