// Package peer maintains the links between entry hosts and carries heartbeats, load
// digests, row copies and calls over them. A link is a yamux session over TCP with
// the protobuf messages of package peerpb.
//
// Each host dials every other host. A link carries the heartbeats, digests and
// calls of the host that dialled it. The accepting host also sends on it while it
// has no link of its own to that host.
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

// RowCopies holds the table and assignment rows to send to a host that asked for
// newer ones. A nil value is not sent.
type RowCopies struct {
	TableVersion uint64
	Table        []byte // value of the row as stored by the platform
	Epoch        uint64
	Assignment   []byte
}

// Transport maintains the links to all other hosts. The fields must be set before
// Run is called, including every callback. Callbacks may call any method of
// Transport. Calls to OnHeartbeat and OnDeath are serialised with each other. The
// other callbacks are called concurrently.
type Transport struct {
	Self         membership.Host
	Listen       string       // IP address and port; empty means Self.PeerAddress
	MaxBodyBytes int          // limit for the body of a call or reply; 0 means 1 MiB
	Counters     *metrics.Set // nil means metrics.GetDefaultSet
	Logger       *slog.Logger // nil means slog.Default

	OnHeartbeat      func(hb membership.Heartbeat)
	OnDigest         func(hostID string, d route.Digest, service string)
	OnFetch          func(tableVersion, epoch uint64) RowCopies
	OnTableCopy      func(hostID string, version uint64, value []byte)
	OnAssignmentCopy func(hostID string, epoch uint64, value []byte)
	OnCall           func(ctx context.Context, from string, req *peerpb.CallRequest) *peerpb.CallReply // ctx is cancelled when the caller gives up
	OnDeath          func(d membership.Death)

	once      sync.Once
	count     counters
	ticks     atomic.Uint64 // logical clock that orders events within this process
	deliverMu sync.Mutex    // held during OnHeartbeat and OnDeath; locked before mu

	mu       sync.Mutex
	ctx      context.Context // context of Run; nil before Run
	wg       sync.WaitGroup
	listener net.Listener
	targets  map[string]*target    // by host id
	links    map[string]*hostLinks // by host id
}

// Limits and timings of a link.
const (
	defaultBodyBytes = 1 << 20
	dialTimeout      = clock.Second
	handshakeTimeout = 3 * clock.Second
	writeTimeout     = 3 * clock.Second
	acceptPause      = 50 * clock.Millisecond
	keepAlive        = 10 * clock.Second
	streamTimeout    = 5 * clock.Second // for opening a stream, reading its first message and closing it
	maxCallsPerLink  = 1024
	maxInboundLinks  = 1024
)

func (tr *Transport) setDefaults() {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.MaxBodyBytes <= 0 {
		tr.MaxBodyBytes = defaultBodyBytes
	}
	if tr.Listen == "" {
		tr.Listen = tr.Self.PeerAddress
	}
	if tr.Counters == nil {
		tr.Counters = metrics.GetDefaultSet()
	}
	if tr.Logger == nil {
		tr.Logger = slog.Default()
	}
	tr.count = newCounters(tr.Counters)
	tr.targets = map[string]*target{}
	tr.links = map[string]*hostLinks{}
}

// Bind opens the listener. It must be called before the incarnation of this process
// is announced to other hosts, because a host that knows the incarnation takes a
// closed port as proof of its death.
func (tr *Transport) Bind() (err error) {
	tr.once.Do(tr.setDefaults)
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.listener != nil {
		return nil
	}
	tr.listener, err = net.Listen("tcp", tr.Listen)
	return errors.WithMessage(err, "peer link")
}

// Run accepts links and maintains the dialled ones until ctx is done. It calls Bind
// if that has not been done. All links and the listener are closed when Run
// returns. Other hosts then consider this process dead, so Run must be the last
// part of the process to stop.
func (tr *Transport) Run(ctx context.Context) error {
	if err := tr.Bind(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = tr.listener.Close() })
	defer stop()
	tr.startTargets(ctx)
	tr.accept(ctx, tr.listener)
	tr.wg.Wait()
	return nil
}

// startTargets starts dialling the hosts that were passed to Dial before Run.
func (tr *Transport) startTargets(ctx context.Context) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.ctx = ctx
	for _, t := range tr.targets {
		tr.startTarget(t)
	}
}

// accept accepts links until ctx is done. After a failure, such as a lack of file
// descriptors, it pauses and tries again, because other hosts would take a closed
// port as proof that this host is dead.
func (tr *Transport) accept(ctx context.Context, listener net.Listener) {
	slots := make(chan struct{}, maxInboundLinks)
	for ctx.Err() == nil {
		conn, err := listener.Accept()
		if err != nil {
			tr.count.acceptFailures.Inc()
			sleep(ctx, acceptPause.Duration())
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			tr.count.refusedLinks.Inc()
			_ = conn.Close()
			continue
		}
		tr.wg.Go(func() {
			defer func() { <-slots }()
			s := &session{transport: tr}
			s.run(ctx, conn)
		})
	}
}

// tick advances the logical clock and returns its new value.
func (tr *Transport) tick() uint64 { return tr.ticks.Add(1) }
