package forward

import (
	"context"
	"encoding/binary"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"siskinpath/core/clock"
	"siskinpath/siskinpathd/forward/forwardpb"
	"siskinpath/siskinpathd/mux"
)

// lateConn is a connection whose reader learns of its end only when it is released, as a
// reader that gets no processor does. In the middle of a frame it learns at once: yamux
// locks the stream meanwhile.
type lateConn struct {
	net.Conn
	released chan struct{}
	header   []byte // of the frame that is being read
	body     int    // what is missing of its body
}

func (c *lateConn) Read(b []byte) (n int, err error) {
	if n, err = c.Conn.Read(b); err != nil && len(c.header) == 0 && c.body == 0 {
		<-c.released
	}
	for _, x := range b[:n] {
		if c.body > 0 {
			c.body--
			continue
		}
		if c.header = append(c.header, x); len(c.header) == 12 {
			if c.header[1] == 0 {
				c.body = int(binary.BigEndian.Uint32(c.header[8:]))
			}
			c.header = nil
		}
	}
	return n, err
}

// lossTest is a host that asks and one that allocates, over one session.
type lossTest struct {
	client  *Client
	address string
	far     net.Conn
	near    net.Conn
	ended   sync.WaitGroup // work of both hosts
	cancel  context.CancelFunc

	ctx      context.Context
	greeting chan struct{} // the allocator greets when it is closed
	streams  chan *SlotStream
	released chan struct{}
}

// newLossTest begins a session on which either the side that asks or the one that serves
// learns late of the end.
func newLossTest(lateAsker, lateServer bool) *lossTest {
	l := &lossTest{
		client: &Client{Timeouts: Timeouts{KeepAlive: 50 * clock.Millisecond, Write: 500 * clock.Millisecond}}, address: "other",
		greeting: make(chan struct{}), streams: make(chan *SlotStream, 10), released: make(chan struct{}),
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	l.near, err = net.Dial("tcp", ln.Addr().String())
	So(err, ShouldBeNil)
	l.far, err = ln.Accept()
	So(err, ShouldBeNil)
	_ = ln.Close()
	near, far := l.near, l.far
	if lateAsker {
		near = &lateConn{Conn: near, released: l.released}
	}
	if lateServer {
		far = &lateConn{Conn: far, released: l.released}
	}
	server := &Server{
		Log: slog.New(slog.DiscardHandler),
		Serve: func(ctx context.Context, _ *forwardpb.Request) *forwardpb.Reply {
			<-ctx.Done()
			return &forwardpb.Reply{}
		},
		Slots: func(_ string, s *SlotStream) (func(*forwardpb.SlotMessage), func()) {
			l.ended.Add(1)
			select {
			case <-l.greeting:
			case <-l.ctx.Done():
			}
			l.streams <- s
			return func(*forwardpb.SlotMessage) {}, l.ended.Done
		},
		slots: make(chan struct{}, maxConcurrent),
	}
	go server.serveSession(l.ctx, far)
	s := &session{timeouts: l.client.Timeouts, dialled: make(chan struct{})}
	cfg := muxConfig(s.timeouts)
	cfg.EnableKeepAlive = false
	s.mux, err = mux.Client(near, cfg)
	So(err, ShouldBeNil)
	close(s.dialled)
	l.client.sessions = map[string]*session{l.address: s}
	return l
}

// run starts work of the host that asks.
func (l *lossTest) run(work func() error) {
	l.ended.Go(func() { _ = work() })
}

func (l *lossTest) openSlots() {
	l.run(func() error {
		return l.client.OpenSlots(l.ctx, l.address, "asker", func(s *SlotStream) { l.streams <- s }, func(*forwardpb.SlotMessage) {})
	})
}

// greeted returns the streams of both sides.
func (l *lossTest) greeted() (a, b *SlotStream) {
	close(l.greeting)
	return <-l.streams, <-l.streams
}

func reset(nc net.Conn) {
	_ = nc.(*net.TCPConn).SetLinger(0)
	_ = nc.Close()
}

// shouldEnd checks that all work has ended within a second.
func (l *lossTest) shouldEnd() {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.ended.Wait()
	}()
	select {
	case <-ended:
	case <-time.After(time.Second):
		So("work goes on in a lost session", ShouldBeEmpty)
	}
}

func TestLostSessions(t *testing.T) {
	late := map[string][2]bool{
		"no side learns late":          {false, false},
		"the asking side learns late":  {true, false},
		"the serving side learns late": {false, true},
		"both sides learn late":        {true, true},
	}
	Convey("all work of a session ends when its connection is reset", t, func() {
		before := goleak.IgnoreCurrent()
		for name, sides := range late {
			Convey(name, func() {
				l := newLossTest(sides[0], sides[1])
				Reset(func() {
					l.cancel()
					close(l.released)
					for _, s := range l.client.sessions {
						s.mu.Lock()
						if s.idle != nil {
							s.idle.Stop()
						}
						s.mu.Unlock()
					}
					So(goleak.Find(before), ShouldBeNil)
				})
				resetBoth := func() {
					reset(l.near)
					reset(l.far)
				}
				Convey("before the greeting", func() {
					l.openSlots()
					time.Sleep(20 * time.Millisecond)
					resetBoth()
					close(l.greeting)
					l.shouldEnd()
				})
				Convey("while the writers write", func() {
					l.openSlots()
					a, b := l.greeted()
					for _, s := range []*SlotStream{a, b} {
						l.run(func() error {
							for range 200 {
								s.Send(&forwardpb.SlotMessage{Id: 1})
								time.Sleep(time.Millisecond)
							}
							return nil
						})
					}
					time.Sleep(20 * time.Millisecond)
					resetBoth()
					l.shouldEnd()
				})
				Convey("after Close of either side", func() {
					l.openSlots()
					a, b := l.greeted()
					a.Close()
					resetBoth()
					b.Close()
					l.shouldEnd()
				})
				Convey("while calls and messages for tokens wait", func() {
					for range 10 {
						l.run(func() error {
							_, _, err := l.client.Call(l.ctx, l.address, &forwardpb.Request{Id: "waits"})
							return err
						})
					}
					time.Sleep(20 * time.Millisecond)
					resetBoth()
					l.run(func() error {
						ctx, cancel := context.WithTimeout(l.ctx, 500*time.Millisecond)
						defer cancel()
						_, err := l.client.Ask(ctx, l.address, &forwardpb.Tokens{Count: 1})
						return err
					})
					l.shouldEnd()
				})
				Convey("when this side closes the session", func() {
					l.openSlots()
					_, _ = l.greeted()
					s := l.client.sessions[l.address]
					go func() { _ = s.mux.Close() }()
					time.Sleep(20 * time.Millisecond)
					reset(l.far)
					l.cancel()
					l.shouldEnd()
				})
			})
		}
	})
}
