package peer

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"siskinpath/core/membership"
	"siskinpath/core/route"
	"siskinpath/siskinpathd/mux"
	"siskinpath/siskinpathd/peer/peerpb"
)

// rawPeer is a remote host that opens a yamux session and sends arbitrary frames.
type rawPeer struct {
	mux *yamux.Session
}

func dialRaw(h *testHost) *rawPeer {
	var conn net.Conn
	waitFor(func() bool {
		c, err := net.Dial("tcp", h.transport.Self.PeerAddress)
		conn = c
		return err == nil
	})
	cfg := muxConfig()
	mux, err := yamux.Client(conn, cfg)
	convey.So(err, convey.ShouldBeNil)
	return &rawPeer{mux: mux}
}

func (p *rawPeer) openStream() *yamux.Stream {
	stream, err := p.mux.OpenStream()
	convey.So(err, convey.ShouldBeNil)
	return stream
}

// send writes m. It ignores errors, because the host under test may already have
// closed the link, which the tests check separately.
func (p *rawPeer) send(stream *yamux.Stream, m proto.Message) {
	_, _ = writeFrame(stream, m, math.MaxInt32)
}

// introduce opens a control stream under the given host id and incarnation.
func (p *rawPeer) introduce(id string, incarnation uint64) *yamux.Stream {
	stream := p.openStream()
	p.send(stream, &peerpb.Open{Kind: &peerpb.Open_Control{Control: &peerpb.Control{HostId: id, Incarnation: incarnation}}})
	return stream
}

func (p *rawPeer) shouldBeClosed() {
	select {
	case <-p.mux.CloseChan():
	case <-time.After(testTimeout):
		panic("link was not closed in time")
	}
}

func heartbeatMessage(hb *peerpb.Heartbeat) *peerpb.ControlMessage {
	return &peerpb.ControlMessage{Kind: &peerpb.ControlMessage_Heartbeat{Heartbeat: hb}}
}

func TestCorruptFrames(t *testing.T) {
	convey.Convey("a host with one valid link", t, func() {
		a, b := pair()
		defer a.shutDown()
		defer b.shutDown()
		raw := dialRaw(a)
		defer func() { _ = raw.mux.Close() }()
		shouldSurvive := func(links uint64) {
			raw.shouldBeClosed()
			shouldCount(a, `peer_corrupt_frames_total`, links)
			reply, err := b.transport.Call(context.Background(), "a", &peerpb.CallRequest{DeadlineMs: 60000, Body: []byte("x")})
			convey.So(err, convey.ShouldBeNil)
			convey.So(string(reply.GetBody()), convey.ShouldEqual, "x")
			convey.So(a.deaths, convey.ShouldBeEmpty)
		}
		convey.Convey("closes a link whose first frame is not a valid message", func() {
			_, _ = raw.openStream().Write([]byte("\x05\xff\xff\xff\xff\xff"))
			shouldSurvive(1)
		})
		convey.Convey("closes a link whose frame has a length above the limit", func() {
			_, _ = raw.openStream().Write([]byte("\xff\xff\xff\xff\x7f"))
			shouldSurvive(1)
		})
		convey.Convey("closes a link with a stream of unknown kind", func() {
			raw.send(raw.openStream(), &peerpb.Open{})
			shouldSurvive(1)
		})
		convey.Convey("closes a link of a host without an id", func() {
			raw.introduce("", 1)
			shouldSurvive(1)
		})
		convey.Convey("closes a link with two control streams", func() {
			raw.introduce("c", 5)
			waitFor(func() bool { return a.transport.Connected("c") })
			raw.introduce("c", 5)
			shouldSurvive(1)
		})
		convey.Convey("closes a link whose heartbeat has a different incarnation", func() {
			raw.send(raw.introduce("c", 5), heartbeatMessage(&peerpb.Heartbeat{Incarnation: 6}))
			shouldSurvive(1)
			convey.So(a.heartbeats, convey.ShouldBeEmpty)
		})
		convey.Convey("closes a link whose heartbeat has the Self of a different host", func() {
			self := hostToWire(membership.Host{ID: "d", Incarnation: 5, PeerAddress: "127.0.0.1:1", CallerAddress: "127.0.0.1:1", OperatorAddress: "127.0.0.1:1"})
			raw.send(raw.introduce("c", 5), heartbeatMessage(&peerpb.Heartbeat{Incarnation: 5, Self: self}))
			shouldSurvive(1)
			convey.So(a.heartbeats, convey.ShouldBeEmpty)
		})
		convey.Convey("closes a link with an empty control message", func() {
			raw.send(raw.introduce("c", 5), &peerpb.ControlMessage{})
			shouldSurvive(1)
		})
		convey.Convey("closes a link with an empty digest", func() {
			raw.send(raw.introduce("c", 5), &peerpb.ControlMessage{Kind: &peerpb.ControlMessage_Digest{Digest: &peerpb.Digest{}}})
			shouldSurvive(1)
			convey.So(a.digests, convey.ShouldBeEmpty)
		})
		convey.Convey("closes a link with a call above the size limit and does not run it", func() {
			raw.introduce("c", 5)
			call := &peerpb.CallRequest{DeadlineMs: 60000, Body: make([]byte, defaultBodyBytes+1)}
			_, _ = writeFrame(raw.openStream(), &peerpb.Open{Kind: &peerpb.Open_Call{Call: call}}, math.MaxInt32)
			shouldSurvive(1)
			convey.So(receive(a.calls), convey.ShouldEqual, "b") // only the call on the valid link was run
			convey.So(a.calls, convey.ShouldBeEmpty)
		})
		convey.Convey("closes a connection that does not speak yamux", func() {
			conn, err := net.Dial("tcp", a.transport.Self.PeerAddress)
			convey.So(err, convey.ShouldBeNil)
			_, _ = conn.Write(bytes.Repeat([]byte("GET / HTTP/1.1\r\n"), 10))
			_, _ = io.Copy(io.Discard, conn) // returns when the host closes it
			_ = raw.mux.Close()
			shouldSurvive(0)
		})
		convey.Convey("does not run a truncated call, and keeps the link", func() {
			raw.introduce("c", 5)
			var whole bytes.Buffer
			call := &peerpb.CallRequest{DeadlineMs: 60000, Body: make([]byte, 1000)}
			_, _ = writeFrame(&whole, &peerpb.Open{Kind: &peerpb.Open_Call{Call: call}}, math.MaxInt32)
			stream := raw.openStream()
			_, err := stream.Write(whole.Bytes()[:500])
			convey.So(err, convey.ShouldBeNil)
			convey.So(stream.Close(), convey.ShouldBeNil)
			_, _ = io.Copy(io.Discard, stream) // returns when the host closes it
			convey.So(a.calls, convey.ShouldBeEmpty)
			convey.So(raw.mux.IsClosed(), convey.ShouldBeFalse)
			shouldCount(a, `peer_corrupt_frames_total`, 0)
		})
	})
}

func TestIncarnations(t *testing.T) {
	convey.Convey("heartbeats of one host are delivered in the order of its incarnations", t, func() {
		a := newTestHost("a", 1, freeAddress()).run()
		defer a.shutDown()
		older, newer := dialRaw(a), dialRaw(a)
		defer func() { _ = older.mux.Close() }()
		defer func() { _ = newer.mux.Close() }()
		olderControl := older.introduce("c", 5)
		older.send(olderControl, heartbeatMessage(&peerpb.Heartbeat{Incarnation: 5, Sequence: 1}))
		convey.So(receive(a.heartbeats).From.Incarnation, convey.ShouldEqual, membership.Incarnation(5))
		newer.send(newer.introduce("c", 6), heartbeatMessage(&peerpb.Heartbeat{Incarnation: 6, Sequence: 1}))
		convey.So(receive(a.heartbeats).From.Incarnation, convey.ShouldEqual, membership.Incarnation(6))
		older.shouldBeClosed()
		convey.So(a.heartbeats, convey.ShouldBeEmpty)
	})
	convey.Convey("a link whose incarnation may not be the newest is rejected", t, func() {
		a := newTestHost("a", 1, freeAddress())
		a.transport.once.Do(a.transport.setDefaults)
		muxes := []*mux.Session{}
		newSession := func(aliveAfter uint64) *session {
			x, y := net.Pipe()
			_ = y
			opened, err := mux.Client(x, muxConfig())
			convey.So(err, convey.ShouldBeNil)
			muxes = append(muxes, opened)
			return &session{transport: a.transport, aliveAfter: aliveAfter, mux: opened, identified: make(chan struct{})}
		}
		defer func() {
			for _, m := range muxes {
				_ = m.Close()
			}
		}()
		began := a.transport.tick()
		convey.So(a.transport.register(newSession(a.transport.tick()), identity{id: "c", incarnation: 6}), convey.ShouldBeTrue)
		convey.So(a.transport.register(newSession(began), identity{id: "c", incarnation: 5}), convey.ShouldBeFalse)
		convey.So(a.transport.register(newSession(began), identity{id: "c", incarnation: 6}), convey.ShouldBeTrue)
		convey.So(a.transport.register(newSession(a.transport.tick()), identity{id: "c", incarnation: 7}), convey.ShouldBeTrue)
		convey.So(a.transport.register(newSession(began), identity{id: "c", incarnation: 6}), convey.ShouldBeFalse)
	})
}

func TestFrozenPeer(t *testing.T) {
	convey.Convey("a peer that has stopped reading does not block senders, and its link is closed", t, func() {
		a := newTestHost("a", 1, freeAddress()).run()
		defer a.shutDown()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		defer func() { _ = l.Close() }()
		frozen := make(chan net.Conn, 10)
		go freezeAfterHandshake(l, frozen)
		host := membership.Host{ID: "b", Incarnation: 2, PeerAddress: l.Addr().String()}
		a.transport.Dial(host)
		waitFor(func() bool { return a.transport.Connected("b") })
		hb := membership.Heartbeat{From: a.transport.Self}
		for range 5000 {
			hb.Gossip = append(hb.Gossip, membership.GossipEntry{Host: membership.Host{ID: "some-other-host", Incarnation: 1}})
		}
		for range 2000 {
			a.transport.SendHeartbeat(host, hb)
			a.transport.SendDigest("b", "booking", route.Digest{Free: 1})
			a.transport.FetchUpdates("b", 1, 1)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		_, err = a.transport.Call(ctx, "b", &peerpb.CallRequest{DeadlineMs: 200, Body: make([]byte, defaultBodyBytes)})
		convey.So(err, convey.ShouldNotBeNil)
		waitFor(func() bool { return !a.transport.Connected("b") })
		convey.So(a.deaths, convey.ShouldBeEmpty) // a silent peer is not proven dead
	})
}

// stuckConn accepts only writes of a header and blocks reads and longer writes until
// it is closed.
type stuckConn struct {
	net.Conn
	closed chan struct{}
}

func (c stuckConn) Write(b []byte) (int, error) {
	if len(b) > muxHeaderBytes {
		<-c.closed
		return 0, io.ErrClosedPipe
	}
	return len(b), nil
}

func (c stuckConn) Read([]byte) (int, error)    { <-c.closed; return 0, io.EOF }
func (c stuckConn) SetDeadline(time.Time) error { return nil }
func (c stuckConn) Close() error                { return nil }
func (c stuckConn) RemoteAddr() net.Addr        { return &net.TCPAddr{} }
func (c stuckConn) LocalAddr() net.Addr         { return &net.TCPAddr{} }

func TestCallOnStuckLink(t *testing.T) {
	convey.Convey("a call returns when its context is done, even if the link is blocked", t, func() {
		a := newTestHost("a", 1, freeAddress())
		a.transport.once.Do(a.transport.setDefaults)
		cfg := muxConfig()
		cfg.EnableKeepAlive = false
		cfg.ConnectionWriteTimeout = time.Hour
		cfg.StreamOpenTimeout = time.Hour
		conn := stuckConn{closed: make(chan struct{})}
		opened, err := mux.Client(conn, cfg)
		convey.So(err, convey.ShouldBeNil)
		defer func() { close(conn.closed); _ = opened.Close() }()
		s := &session{transport: a.transport, target: &target{}, mux: opened, outgoingCalls: make(chan struct{}, 1000), identified: make(chan struct{})}
		convey.So(a.transport.register(s, identity{id: "b", incarnation: 2}), convey.ShouldBeTrue)
		for range 200 { // enough calls to fill every queue of yamux
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
			returned := make(chan error, 1)
			go func() {
				_, err := a.transport.Call(ctx, "b", &peerpb.CallRequest{Body: make([]byte, 1000)})
				returned <- err
			}()
			convey.So(receive(returned), convey.ShouldNotBeNil)
			cancel()
		}
		convey.So(a.transport.Connected("b"), convey.ShouldBeTrue)
	})
}

// freezeAfterHandshake answers the handshake of the first link and never reads.
func freezeAfterHandshake(l net.Listener, frozen chan<- net.Conn) {
	for first := true; ; first = false {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		frozen <- conn
		if first {
			writeControlOpen(conn)
		}
	}
}

// writeControlOpen writes the frame that opens a control stream byte by byte. The
// yamux header consists of version, type 0 (data), flags 1 (SYN), stream 2 and length.
func writeControlOpen(conn net.Conn) {
	var open bytes.Buffer
	_, _ = writeFrame(&open, &peerpb.Open{Kind: &peerpb.Open_Control{Control: &peerpb.Control{HostId: "b", Incarnation: 2}}}, math.MaxInt32)
	header := []byte{0, 0, 0, 1, 0, 0, 0, 2, 0, 0, 0, byte(open.Len())}
	_, _ = conn.Write(append(header, open.Bytes()...))
}

func FuzzControlMessage(f *testing.F) {
	seed := func(m proto.Message) {
		var b bytes.Buffer
		_, _ = writeFrame(&b, m, math.MaxInt32)
		f.Add(b.Bytes())
	}
	seed(heartbeatMessage(&peerpb.Heartbeat{Incarnation: 2, Known: []*peerpb.Known{{Id: "c", Incarnation: 1}}, Dead: []*peerpb.Death{{}}}))
	seed(&peerpb.ControlMessage{Kind: &peerpb.ControlMessage_Digest{Digest: &peerpb.Digest{Service: "s", Free: math.MaxUint32}}})
	seed(&peerpb.ControlMessage{Kind: &peerpb.ControlMessage_TableCopy{TableCopy: &peerpb.TableCopy{Value: []byte("x")}}})
	f.Add([]byte("\xff\xff\xff\xff\x0f"))
	f.Fuzz(func(t *testing.T, frame []byte) {
		m := &peerpb.ControlMessage{}
		if _, err := readFrame(bufio.NewReader(bytes.NewReader(frame)), m, maxControlFrame); err != nil {
			return
		}
		host := membership.Host{ID: "b", Incarnation: 2}
		if w := m.GetHeartbeat(); w != nil {
			hb, err := heartbeatFromWire(w, &host)
			if err == nil && (hb.From.ID != "b" || hb.From.Incarnation != 2 || hb.PlatformAge < -1) {
				t.Fatal("heartbeat of a different host accepted")
			}
		}
		if w := m.GetDigest(); w != nil {
			service, d, err := digestFromWire(w)
			if err == nil && (service == "" || min(d.Free, d.Queued, d.Slots) < 0) {
				t.Fatal("digest with values out of range accepted")
			}
		}
	})
}

func FuzzOpen(f *testing.F) {
	var b bytes.Buffer
	_, _ = writeFrame(&b, &peerpb.Open{Kind: &peerpb.Open_Call{Call: &peerpb.CallRequest{Body: []byte("x")}}}, math.MaxInt32)
	f.Add(b.Bytes())
	f.Add([]byte("\x80"))
	f.Fuzz(func(t *testing.T, frame []byte) {
		m := &peerpb.Open{}
		n, err := readFrame(bufio.NewReader(bytes.NewReader(frame)), m, 1<<16)
		if err == nil && n > 1<<16+muxHeaderBytes+3 {
			t.Fatal("frame above the limit accepted")
		}
	})
}
