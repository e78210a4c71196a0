package peer

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/smartystreets/goconvey/convey"

	"siskinpath/core/membership"
	"siskinpath/core/route"
	"siskinpath/siskinpathd/peer/peerpb"
)

// testHost is a Transport whose callbacks record their arguments. The channels are
// large enough that a callback never blocks.
type testHost struct {
	transport  *Transport
	heartbeats chan membership.Heartbeat
	digests    chan route.Digest
	tables     chan []byte
	deaths     chan membership.Death
	calls      chan string
	cancelled  chan string
	release    chan struct{} // closed to let calls of the method HANG return
	stop       context.CancelFunc
	ended      chan struct{} // closed when Run has returned
}

const testTimeout = 20 * time.Second // limit for a test that hangs; no test depends on its value

func newTestHost(id string, incarnation membership.Incarnation, address string) *testHost {
	h := &testHost{
		heartbeats: make(chan membership.Heartbeat, 1000),
		digests:    make(chan route.Digest, 1000),
		tables:     make(chan []byte, 1000),
		deaths:     make(chan membership.Death, 1000),
		calls:      make(chan string, 1000),
		cancelled:  make(chan string, 1000),
		release:    make(chan struct{}),
	}
	h.transport = &Transport{
		Self: membership.Host{
			ID: id, Incarnation: incarnation, AvailabilityZone: "z",
			PeerAddress: address, CallerAddress: "127.0.0.1:1", OperatorAddress: "127.0.0.1:2",
		},
		Counters:         metrics.NewSet(),
		Logger:           slog.New(slog.NewTextHandler(io.Discard, nil)),
		OnHeartbeat:      func(hb membership.Heartbeat) { h.heartbeats <- hb },
		OnDigest:         func(_ string, d route.Digest, _ string) { h.digests <- d },
		OnFetch:          func(uint64, uint64) RowCopies { return RowCopies{TableVersion: 9, Table: []byte("table"), Epoch: 3} },
		OnTableCopy:      func(_ string, _ uint64, value []byte) { h.tables <- value },
		OnAssignmentCopy: func(string, uint64, []byte) {},
		OnDeath:          func(d membership.Death) { h.deaths <- d },
		OnCall:           h.serveCall,
	}
	return h
}

// serveCall replies with the body of the request. The method "WAIT" first waits
// until the caller gives up, and "HANG" until release is closed.
func (h *testHost) serveCall(ctx context.Context, from string, req *peerpb.CallRequest) *peerpb.CallReply {
	h.calls <- from
	switch req.GetMethod() {
	case "WAIT":
		<-ctx.Done()
		h.cancelled <- req.GetUri()
	case "HANG":
		<-h.release
	}
	return &peerpb.CallReply{Outcome: peerpb.Outcome_OUTCOME_ANSWERED, Status: 200, Body: req.GetBody()}
}

func (h *testHost) run() *testHost {
	if err := h.transport.Bind(); err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	h.ended = make(chan struct{})
	go func() {
		defer close(h.ended)
		if err := h.transport.Run(ctx); err != nil {
			panic(err)
		}
	}()
	return h
}

// shutDown stops the host and waits until its port is closed.
func (h *testHost) shutDown() {
	h.stop()
	receive(h.ended)
}

func receive[T any](c <-chan T) T {
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		panic("no value received in time")
	}
}

func waitFor(condition func() bool) {
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			panic("condition not met in time")
		}
	}
}

var portMu sync.Mutex

func freeAddress() string {
	portMu.Lock()
	defer portMu.Unlock()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// pair runs two hosts that have dialled each other.
func pair() (a, b *testHost) {
	a = newTestHost("a", 1, freeAddress()).run()
	b = newTestHost("b", 2, freeAddress()).run()
	a.transport.Dial(b.transport.Self)
	b.transport.Dial(a.transport.Self)
	waitFor(func() bool { return dialled(a, "b") && dialled(b, "a") })
	return a, b
}

func dialled(h *testHost, id string) bool {
	s := h.transport.sessionTo(id)
	return s != nil && s.target != nil
}

func shouldCount(h *testHost, name string, want uint64) {
	waitFor(func() bool { return h.transport.Counters.GetOrCreateCounter(name).Get() >= want })
	convey.So(h.transport.Counters.GetOrCreateCounter(name).Get(), convey.ShouldEqual, want)
}

func TestControl(t *testing.T) {
	convey.Convey("heartbeats, digests and copies reach the other host", t, func() {
		a, b := pair()
		defer a.shutDown()
		defer b.shutDown()
		hb := membership.Heartbeat{
			From: a.transport.Self, Sequence: 7, Epoch: 5, TableVersion: 4, KeyWindow: 3, Leaving: true, PlatformAge: -1,
			Gossip: []membership.GossipEntry{{Host: membership.Host{ID: "c", Incarnation: 9}, Sequence: 1, Epoch: 2, Age: 30}},
			Dead:   []membership.Death{{ID: "d", Incarnation: 8}},
		}
		a.transport.SendHeartbeat(b.transport.Self, hb)
		convey.So(receive(b.heartbeats), convey.ShouldResemble, hb)
		hb.Sequence = 8
		a.transport.SendHeartbeat(b.transport.Self, hb)
		convey.So(receive(b.heartbeats), convey.ShouldResemble, hb)
		a.transport.SendDigest("b", "booking", route.Digest{Free: 1, Queued: 2, Slots: 3})
		convey.So(receive(b.digests), convey.ShouldResemble, route.Digest{Host: "a", Free: 1, Queued: 2, Slots: 3})
		a.transport.FetchUpdates("b", 1, 1)
		convey.So(string(receive(a.tables)), convey.ShouldEqual, "table")
	})
	convey.Convey("a host that has not dialled back sends over the other host's link", t, func() {
		a := newTestHost("a", 1, freeAddress()).run()
		b := newTestHost("b", 2, freeAddress()).run()
		defer a.shutDown()
		defer b.shutDown()
		a.transport.Dial(b.transport.Self)
		waitFor(func() bool { return b.transport.Connected("a") })
		b.transport.SendHeartbeat(a.transport.Self, membership.Heartbeat{From: b.transport.Self, Sequence: 1})
		convey.So(receive(a.heartbeats).From, convey.ShouldResemble, b.transport.Self)
	})
	convey.Convey("without a link sending does not block, and dropped messages are counted", t, func() {
		a := newTestHost("a", 1, freeAddress())
		a.transport.SendHeartbeat(membership.Host{ID: "b"}, membership.Heartbeat{})
		a.transport.SendDigest("b", "booking", route.Digest{})
		a.transport.FetchUpdates("b", 0, 0)
		shouldCount(a, `peer_dropped_total{kind="heartbeat"}`, 1)
		shouldCount(a, `peer_dropped_total{kind="digest"}`, 1)
		shouldCount(a, `peer_dropped_total{kind="fetch"}`, 1)
	})
}

func TestDeath(t *testing.T) {
	convey.Convey("a refused connection proves the death of the incarnation last known there", t, func() {
		a, b := pair()
		defer a.shutDown()
		b.shutDown()
		convey.So(receive(a.deaths), convey.ShouldResemble, membership.Death{ID: "b", Incarnation: 2})
	})
	convey.Convey("a refused connection proves no death when no incarnation is known", t, func() {
		a := newTestHost("a", 1, freeAddress()).run()
		defer a.shutDown()
		a.transport.Dial(membership.Host{ID: "b", PeerAddress: freeAddress()})
		shouldCountAtLeast(a, `peer_dials_total{result="refused"}`, 2)
		convey.So(a.deaths, convey.ShouldBeEmpty)
	})
	convey.Convey("a different incarnation at the same address proves the death of the earlier one", t, func() {
		a := newTestHost("a", 1, freeAddress()).run()
		b := newTestHost("b", 3, freeAddress()).run()
		defer a.shutDown()
		defer b.shutDown()
		old := b.transport.Self
		old.Incarnation = 2
		a.transport.Dial(old)
		convey.So(receive(a.deaths), convey.ShouldResemble, membership.Death{ID: "b", Incarnation: 2})
		waitFor(func() bool { return dialled(a, "b") })
		convey.So(a.deaths, convey.ShouldBeEmpty)
	})
	convey.Convey("a different host at the address proves the death too, and gives no link to the dialled host", t, func() {
		a := newTestHost("a", 1, freeAddress()).run()
		c := newTestHost("c", 3, freeAddress()).run()
		defer a.shutDown()
		defer c.shutDown()
		a.transport.Dial(membership.Host{ID: "b", Incarnation: 2, PeerAddress: c.transport.Self.PeerAddress})
		convey.So(receive(a.deaths), convey.ShouldResemble, membership.Death{ID: "b", Incarnation: 2})
		shouldCountAtLeast(a, `peer_wrong_host_total`, 1)
		convey.So(a.transport.Connected("b"), convey.ShouldBeFalse)
	})
	convey.Convey("a host that listens but does not answer is not considered dead", t, func() {
		a := newTestHost("a", 1, freeAddress()).run()
		defer a.shutDown()
		frozen, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		defer func() { _ = frozen.Close() }()
		a.transport.Dial(membership.Host{ID: "b", Incarnation: 2, PeerAddress: frozen.Addr().String()})
		shouldCountAtLeast(a, `peer_handshake_timeouts_total`, 1)
		convey.So(a.deaths, convey.ShouldBeEmpty)
		convey.So(a.transport.Connected("b"), convey.ShouldBeFalse)
	})
}

func shouldCountAtLeast(h *testHost, name string, want uint64) {
	waitFor(func() bool { return h.transport.Counters.GetOrCreateCounter(name).Get() >= want })
}

func TestCall(t *testing.T) {
	convey.Convey("a call is answered", t, func() {
		a, b := pair()
		defer a.shutDown()
		defer b.shutDown()
		ctx := context.Background()
		reply, err := a.transport.Call(ctx, "b", &peerpb.CallRequest{DeadlineMs: 60000, Body: []byte("body")})
		convey.So(err, convey.ShouldBeNil)
		convey.So(string(reply.GetBody()), convey.ShouldEqual, "body")
		convey.So(receive(b.calls), convey.ShouldEqual, "a")

		convey.Convey("and a call that is too large is certainly not sent", func() {
			_, err := a.transport.Call(ctx, "b", &peerpb.CallRequest{Body: make([]byte, defaultBodyBytes+1)})
			convey.So(NotSent(err), convey.ShouldBeTrue)
			_, err = a.transport.Call(ctx, "b", &peerpb.CallRequest{Uri: string(make([]byte, defaultBodyBytes+maxCallOverheadBytes))})
			convey.So(NotSent(err), convey.ShouldBeTrue)
			convey.So(b.calls, convey.ShouldBeEmpty)
		})
		convey.Convey("and a call to a host without a link is certainly not sent", func() {
			_, err := a.transport.Call(ctx, "c", &peerpb.CallRequest{})
			convey.So(NotSent(err), convey.ShouldBeTrue)
			shouldCount(a, `peer_calls_total{result="not_sent"}`, 1)
		})
		convey.Convey("and giving up cancels the context on the other side, and the outcome is unknown", func() {
			ctx, cancel := context.WithCancel(ctx)
			failed := make(chan error, 1)
			go func() {
				_, err := a.transport.Call(ctx, "b", &peerpb.CallRequest{DeadlineMs: 3600000, Method: "WAIT", Uri: "/x"})
				failed <- err
			}()
			receive(b.calls)
			cancel()
			convey.So(NotSent(receive(failed)), convey.ShouldBeFalse)
			convey.So(receive(b.cancelled), convey.ShouldEqual, "/x")
			convey.So(a.transport.Connected("b"), convey.ShouldBeTrue)
		})
		convey.Convey("and the death of the other host makes the outcome unknown", func() {
			failed := make(chan error, 1)
			go func() {
				_, err := a.transport.Call(ctx, "b", &peerpb.CallRequest{DeadlineMs: 3600000, Method: "HANG"})
				failed <- err
			}()
			receive(b.calls)
			b.stop()
			err := receive(failed)
			close(b.release)
			convey.So(err, convey.ShouldNotBeNil)
			convey.So(NotSent(err), convey.ShouldBeFalse)
		})
		convey.Convey("and an expired deadline cancels the context on the other side at once", func() {
			reply, err := a.transport.Call(ctx, "b", &peerpb.CallRequest{Method: "WAIT", Uri: "/late"})
			convey.So(err, convey.ShouldBeNil)
			convey.So(reply.GetStatus(), convey.ShouldEqual, 200)
			convey.So(receive(b.cancelled), convey.ShouldEqual, "/late")
		})
	})
}
