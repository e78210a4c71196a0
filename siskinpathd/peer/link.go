// Package peer keeps the links among entry hosts: yamux over TCP with the
// protobuf messages of package peerpb.
//
// Each host dials every other one. A link carries the dialler's heartbeats,
// digests and calls; the accepting side uses it too while it has none of its
// own to that host.
package peer

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"siskinpath/core/clock"
	"siskinpath/core/membership"
	"siskinpath/core/route"
	"siskinpath/siskinpathd/peer/peerpb"
)

// RowCopies are rows to send to a host that asked for newer ones. A nil value is
// not sent.
type RowCopies struct {
	TableVersion uint64
	Table        []byte // the row's value as the platform holds it
	Epoch        uint64
	Assignment   []byte
}

// Transport holds the links to all other hosts. Set the fields before Run; every
// callback must be set. Callbacks may call any method of Transport. OnHeartbeat and
// OnDeath are called one at a time; the other callbacks are called from many
// goroutines.
type Transport struct {
	Self         membership.Host
	Listen       string       // IP number and port; Self.PeerAddress when empty
	MaxBodyBytes int          // of a call or its reply; 0 means 1 MB
	Counters     *metrics.Set // nil means the process's default set
	Logger       *slog.Logger // nil means slog's default

	OnHeartbeat      func(hb membership.Heartbeat)
	OnDigest         func(hostID string, d route.Digest, service string)
	OnFetch          func(tableVersion, epoch uint64) RowCopies
	OnTableCopy      func(hostID string, version uint64, value []byte)
	OnAssignmentCopy func(hostID string, epoch uint64, value []byte)
	OnCall           func(ctx context.Context, from string, req *peerpb.CallRequest) *peerpb.CallReply // ctx ends when the caller gives up
	OnDeath          func(d membership.Death)

	once    sync.Once
	count   counters
	ticks   atomic.Uint64 // orders events within this process
	deliver sync.Mutex    // held while a heartbeat or a death is told; taken before mu

	mu       sync.Mutex
	ctx      context.Context // of Run; nil before
	wg       sync.WaitGroup
	listener net.Listener
	targets  map[string]*target   // by host id
	hosts    map[string]*sessions // by host id
}

// Bounds of a link.
const (
	defaultBodyBytes = 1 << 20
	dialTimeout      = clock.Second
	handshakeTimeout = 3 * clock.Second
	writeTimeout     = 3 * clock.Second
	acceptPause      = 50 * clock.Millisecond
	keepAlive        = 10 * clock.Second
	streamTimeout    = 5 * clock.Second // for the first message of a stream, and for a closed one to be gone
	maxCallsPerLink  = 1024
	maxInboundLinks  = 1024
)

func (l *Transport) start() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.MaxBodyBytes <= 0 {
		l.MaxBodyBytes = defaultBodyBytes
	}
	if l.Listen == "" {
		l.Listen = l.Self.PeerAddress
	}
	if l.Counters == nil {
		l.Counters = metrics.GetDefaultSet()
	}
	if l.Logger == nil {
		l.Logger = slog.Default()
	}
	l.count = newCounters(l.Counters)
	l.targets = map[string]*target{}
	l.hosts = map[string]*sessions{}
}

// Bind opens the listener. Call it before this process's incarnation is told to
// anyone: a host that knows of the incarnation takes a closed port for its death.
func (l *Transport) Bind() (err error) {
	l.once.Do(l.start)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		return nil
	}
	l.listener, err = net.Listen("tcp", l.Listen)
	return errors.WithMessage(err, "peer link")
}

// Run accepts links and keeps the dialled ones until ctx is done; it binds when
// Bind has not been called. All links and the listener are closed when it
// returns. From then on this process counts as dead, so end it last.
func (l *Transport) Run(ctx context.Context) error {
	if err := l.Bind(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = l.listener.Close() })
	defer stop()
	l.begin(ctx)
	l.accept(ctx, l.listener)
	l.wg.Wait()
	return nil
}

// begin starts the dialling of hosts named before Run.
func (l *Transport) begin(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ctx = ctx
	for _, t := range l.targets {
		l.startTarget(t)
	}
}

// accept accepts links until ctx is done. A failure, say for want of file
// descriptors, is waited out: a closed port would pass for a dead host.
func (l *Transport) accept(ctx context.Context, listener net.Listener) {
	slots := make(chan struct{}, maxInboundLinks)
	for ctx.Err() == nil {
		conn, err := listener.Accept()
		if err != nil {
			l.count.acceptFailures.Inc()
			sleep(ctx, acceptPause.Duration())
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			l.count.refusedLinks.Inc()
			_ = conn.Close()
			continue
		}
		l.wg.Go(func() {
			defer func() { <-slots }()
			s := &session{link: l}
			s.run(ctx, conn)
		})
	}
}

// tick gives the next point in the order of events within this process.
func (l *Transport) tick() uint64 { return l.ticks.Add(1) }
