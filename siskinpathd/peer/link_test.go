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

// testHost is a Transport with what its callbacks were told. Channels are large
// enough that a callback never blocks.
type testHost struct {
	link       *Transport
	heartbeats chan membership.Heartbeat
	digests    chan route.Digest
	tables     chan []byte
	deaths     chan membership.Death
	calls      chan string
	cancelled  chan string
	release    chan struct{} // closed to let calls of the method HANG end
	stop       context.CancelFunc
	ended      chan struct{} // closed when Run has returned
}

const patience = 20 * time.Second // an upper bound for a hanging test, no verdict

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
	h.link = &Transport{
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
		OnCall:           h.answer,
	}
	return h
}

// answer echoes the body; the method "WAIT" waits until the caller gives up,
// and "HANG" until it is released.
func (h *testHost) answer(ctx context.Context, from string, req *peerpb.CallRequest) *peerpb.CallReply {
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
	if err := h.link.Bind(); err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	h.ended = make(chan struct{})
	go func() {
		defer close(h.ended)
		if err := h.link.Run(ctx); err != nil {
			panic(err)
		}
	}()
	return h
}

// kill ends the host and waits until its port is closed.
func (h *testHost) kill() {
	h.stop()
	receive(h.ended)
}

func receive[T any](c <-chan T) T {
	select {
	case v := <-c:
		return v
	case <-time.After(patience):
		panic("nothing came")
	}
}

func until(condition func() bool) {
	for end := time.Now().Add(patience); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			panic("it never came to be")
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

// pair runs two hosts with a link in both directions.
func pair() (a, b *testHost) {
	a = newTestHost("a", 1, freeAddress()).run()
	b = newTestHost("b", 2, freeAddress()).run()
	a.link.Dial(b.link.Self)
	b.link.Dial(a.link.Self)
	until(func() bool { return dialled(a, "b") && dialled(b, "a") })
	return a, b
}

func dialled(h *testHost, id string) bool {
	s := h.link.to(id)
	return s != nil && s.target != nil
}

func shouldCount(h *testHost, name string, want uint64) {
	until(func() bool { return h.link.Counters.GetOrCreateCounter(name).Get() >= want })
	convey.So(h.link.Counters.GetOrCreateCounter(name).Get(), convey.ShouldEqual, want)
}

func TestControl(t *testing.T) {
	convey.Convey("heartbeats, digests and copies reach the other host", t, func() {
		a, b := pair()
		defer a.kill()
		defer b.kill()
		hb := membership.Heartbeat{
			From: a.link.Self, Sequence: 7, Epoch: 5, TableVersion: 4, KeyWindow: 3, Leaving: true, PlatformAge: -1,
			Gossip: []membership.GossipEntry{{Host: membership.Host{ID: "c", Incarnation: 9}, Sequence: 1, Epoch: 2, Age: 30}},
			Dead:   []membership.Death{{ID: "d", Incarnation: 8}},
		}
		a.link.SendHeartbeat(b.link.Self, hb)
		convey.So(receive(b.heartbeats), convey.ShouldResemble, hb)
		hb.Sequence = 8
		a.link.SendHeartbeat(b.link.Self, hb)
		convey.So(receive(b.heartbeats), convey.ShouldResemble, hb)
		a.link.SendDigest("b", "booking", route.Digest{Free: 1, Queued: 2, Slots: 3})
		convey.So(receive(b.digests), convey.ShouldResemble, route.Digest{Host: "a", Free: 1, Queued: 2, Slots: 3})
		a.link.FetchUpdates("b", 1, 1)
		convey.So(string(receive(a.tables)), convey.ShouldEqual, "table")
	})
	convey.Convey("a host that could not dial back is still answered over the other's link", t, func() {
		a := newTestHost("a", 1, freeAddress()).run()
		b := newTestHost("b", 2, freeAddress()).run()
		defer a.kill()
		defer b.kill()
		a.link.Dial(b.link.Self)
		until(func() bool { return b.link.Connected("a") })
		b.link.SendHeartbeat(a.link.Self, membership.Heartbeat{From: b.link.Self, Sequence: 1})
		convey.So(receive(a.heartbeats).From, convey.ShouldResemble, b.link.Self)
	})
	convey.Convey("without a link nothing blocks and the loss is counted", t, func() {
		a := newTestHost("a", 1, freeAddress())
		a.link.SendHeartbeat(membership.Host{ID: "b"}, membership.Heartbeat{})
		a.link.SendDigest("b", "booking", route.Digest{})
		a.link.FetchUpdates("b", 0, 0)
		shouldCount(a, `peer_dropped_total{kind="heartbeat"}`, 1)
		shouldCount(a, `peer_dropped_total{kind="digest"}`, 1)
		shouldCount(a, `peer_dropped_total{kind="fetch"}`, 1)
	})
}

func TestDeath(t *testing.T) {
	convey.Convey("a refused connection proves the death of the incarnation last known there", t, func() {
		a, b := pair()
		defer a.kill()
		b.kill()
		convey.So(receive(a.deaths), convey.ShouldResemble, membership.Death{ID: "b", Incarnation: 2})
	})
	convey.Convey("a refused connection proves nothing when no incarnation is known", t, func() {
		a := newTestHost("a", 1, freeAddress()).run()
		defer a.kill()
		a.link.Dial(membership.Host{ID: "b", PeerAddress: freeAddress()})
		shouldCountAtLeast(a, `peer_dials_total{result="refused"}`, 2)
		convey.So(a.deaths, convey.ShouldBeEmpty)
	})
	convey.Convey("another incarnation at the same address proves the death of the earlier one", t, func() {
		a := newTestHost("a", 1, freeAddress()).run()
		b := newTestHost("b", 3, freeAddress()).run()
		defer a.kill()
		defer b.kill()
		old := b.link.Self
		old.Incarnation = 2
		a.link.Dial(old)
		convey.So(receive(a.deaths), convey.ShouldResemble, membership.Death{ID: "b", Incarnation: 2})
		until(func() bool { return dialled(a, "b") })
		convey.So(a.deaths, convey.ShouldBeEmpty)
	})
	convey.Convey("another host at the address proves the death too, and is no link to the one dialled", t, func() {
		a := newTestHost("a", 1, freeAddress()).run()
		c := newTestHost("c", 3, freeAddress()).run()
		defer a.kill()
		defer c.kill()
		a.link.Dial(membership.Host{ID: "b", Incarnation: 2, PeerAddress: c.link.Self.PeerAddress})
		convey.So(receive(a.deaths), convey.ShouldResemble, membership.Death{ID: "b", Incarnation: 2})
		shouldCountAtLeast(a, `peer_wrong_host_total`, 1)
		convey.So(a.link.Connected("b"), convey.ShouldBeFalse)
	})
	convey.Convey("a host that listens but doesn't answer is not dead", t, func() {
		a := newTestHost("a", 1, freeAddress()).run()
		defer a.kill()
		frozen, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		defer func() { _ = frozen.Close() }()
		a.link.Dial(membership.Host{ID: "b", Incarnation: 2, PeerAddress: frozen.Addr().String()})
		shouldCountAtLeast(a, `peer_handshake_timeouts_total`, 1)
		convey.So(a.deaths, convey.ShouldBeEmpty)
		convey.So(a.link.Connected("b"), convey.ShouldBeFalse)
	})
}

func shouldCountAtLeast(h *testHost, name string, want uint64) {
	until(func() bool { return h.link.Counters.GetOrCreateCounter(name).Get() >= want })
}

func TestCall(t *testing.T) {
	convey.Convey("a call is answered", t, func() {
		a, b := pair()
		defer a.kill()
		defer b.kill()
		ctx := context.Background()
		reply, err := a.link.Call(ctx, "b", &peerpb.CallRequest{DeadlineMs: 60000, Body: []byte("body")})
		convey.So(err, convey.ShouldBeNil)
		convey.So(string(reply.GetBody()), convey.ShouldEqual, "body")
		convey.So(receive(b.calls), convey.ShouldEqual, "a")

		convey.Convey("and a call too large is certainly not sent", func() {
			_, err := a.link.Call(ctx, "b", &peerpb.CallRequest{Body: make([]byte, defaultBodyBytes+1)})
			convey.So(NotSent(err), convey.ShouldBeTrue)
			_, err = a.link.Call(ctx, "b", &peerpb.CallRequest{Uri: string(make([]byte, defaultBodyBytes+maxCallExtraBytes))})
			convey.So(NotSent(err), convey.ShouldBeTrue)
			convey.So(b.calls, convey.ShouldBeEmpty)
		})
		convey.Convey("and one to a host without a link too", func() {
			_, err := a.link.Call(ctx, "c", &peerpb.CallRequest{})
			convey.So(NotSent(err), convey.ShouldBeTrue)
			shouldCount(a, `peer_calls_total{result="not_sent"}`, 1)
		})
		convey.Convey("and giving up ends the other side's context, and the outcome is unknown", func() {
			ctx, cancel := context.WithCancel(ctx)
			failed := make(chan error, 1)
			go func() {
				_, err := a.link.Call(ctx, "b", &peerpb.CallRequest{DeadlineMs: 3600000, Method: "WAIT", Uri: "/x"})
				failed <- err
			}()
			receive(b.calls)
			cancel()
			convey.So(NotSent(receive(failed)), convey.ShouldBeFalse)
			convey.So(receive(b.cancelled), convey.ShouldEqual, "/x")
			convey.So(a.link.Connected("b"), convey.ShouldBeTrue)
		})
		convey.Convey("and the death of the other host makes it unknown", func() {
			failed := make(chan error, 1)
			go func() {
				_, err := a.link.Call(ctx, "b", &peerpb.CallRequest{DeadlineMs: 3600000, Method: "HANG"})
				failed <- err
			}()
			receive(b.calls)
			b.stop()
			err := receive(failed)
			close(b.release)
			convey.So(err, convey.ShouldNotBeNil)
			convey.So(NotSent(err), convey.ShouldBeFalse)
		})
		convey.Convey("and a deadline that has passed ends the other side's context at once", func() {
			reply, err := a.link.Call(ctx, "b", &peerpb.CallRequest{Method: "WAIT", Uri: "/late"})
			convey.So(err, convey.ShouldBeNil)
			convey.So(reply.GetStatus(), convey.ShouldEqual, 200)
			convey.So(receive(b.cancelled), convey.ShouldEqual, "/late")
		})
	})
}
