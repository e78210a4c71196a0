// Package relay carries what a few hosts read from the platform's store to all
// others, and tells all of them which hosts live.
//
// A host opens a session to each host that it listens to. Over it, it hears up
// to which version tables are known there, and fetches what it lacks, from its
// own availability zone if it can. Both ends send heartbeats.
package relay

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"siskinpath/core/clock"
	"siskinpath/core/overlay"
	"siskinpath/siskinpathd/relay/relaypb"
	"siskinpath/siskinpathd/watch"
)

const (
	// targetsEvery is how often it is looked which hosts to listen to.
	targetsEvery = 500 * clock.Millisecond
	// dialTimeout is how long a host has to accept a session: several times the way
	// to another availability zone and back.
	dialTimeout = 400 * clock.Millisecond
	// hostsWithin is how long changes of hosts gather before they are passed on.
	hostsWithin = 100 * clock.Millisecond
)

var (
	sessionsOpened = metrics.NewCounter("relay_sessions_opened_total")
	sessionsLost   = metrics.NewCounter("relay_sessions_lost_total")
	updatesSent    = metrics.NewCounter("relay_updates_sent_total")
	updatesTaken   = metrics.NewCounter("relay_updates_received_total")
)

// Relay is both ends of the sessions of a host. Set the fields before Run.
type Relay struct {
	Self          overlay.Host
	ListenAddress string
	Clock         clock.Clock
	Log           *slog.Logger
	Tables        map[string]watch.Replica
	// StartupWait is how long this host waits at its start for others, before it reads
	// the store itself.
	StartupWait clock.Millis
	// StoreLost tells whether this host's own calls to the store fail.
	StoreLost func() bool
	// OnStoreLost is told when all hosts that are listened to have lost the store.
	OnStoreLost func()

	mu        sync.Mutex
	roster    overlay.Overlay
	sessions  map[string]*session // to hosts that are listened to, by id
	listeners map[*listener]bool
	news      []*relaypb.Host // changes of hosts not yet passed on
	changed   chan struct{}   // closed when what this host says of itself changes
	learned   chan struct{}   // there may be other hosts to listen to
	ln        net.Listener
}

// Bind opens the listener.
func (r *Relay) Bind() (err error) {
	r.sessions = map[string]*session{}
	r.listeners = map[*listener]bool{}
	r.changed = make(chan struct{})
	r.learned = make(chan struct{}, 1)
	r.roster.Self = r.Self
	r.roster.Start(r.Clock.Now(), r.StartupWait)
	r.ln, err = net.Listen("tcp", r.ListenAddress)
	return errors.WithMessagef(err, "peer listener %s", r.ListenAddress)
}

// Run serves and listens until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	go r.accept()
	turn := time.NewTicker(targetsEvery.Duration())
	defer turn.Stop()
	beat := time.NewTicker(overlay.HeartbeatInterval.Duration())
	defer beat.Stop()
	r.listen(ctx)
	for {
		select {
		case <-ctx.Done():
			_ = r.ln.Close()
			return
		case <-turn.C:
			r.listen(ctx)
		case <-r.learned:
			r.listen(ctx)
		case <-beat.C:
			r.heartbeat()
		}
	}
}

// AddHosts takes in hosts that the platform's store names.
func (r *Relay) AddHosts(hosts []overlay.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roster.AddHosts(hosts)
	select {
	case r.learned <- struct{}{}:
	default: // it will look anyway
	}
}

// ShouldFollowStore tells whether this host has to follow the store itself.
func (r *Relay) ShouldFollowStore() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.roster.ShouldFollowStore(r.Clock.Now())
}

// Size returns how many hosts there are.
func (r *Relay) Size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.roster.Size()
}

// CallerAddresses returns the addresses for callers of an availability zone.
func (r *Relay) CallerAddresses(zone string, most int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.roster.CallerAddresses(zone, most, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

// SetReady tells all hosts whether callers may be sent to this one.
func (r *Relay) SetReady(ready bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.roster.Self.Ready == ready {
		return
	}
	r.roster.Self.Ready = ready
	close(r.changed)
	r.changed = make(chan struct{})
	r.tellHost(hostToWire(r.roster.Self))
}

// self returns what this host says of itself, and what is closed when that changes.
func (r *Relay) self() (overlay.Host, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.roster.Self, r.changed
}

// lost tells whether this host can't know what the store holds now.
func (r *Relay) lost() bool {
	own := r.StoreLost()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.roster.ShouldFollowStore(r.Clock.Now()) {
		return own
	}
	return r.roster.StoreLost()
}
