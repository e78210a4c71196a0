package entry

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"

	"siskinpath/core/clock"
	"siskinpath/core/config"
)

// standingConn adds a connection of a given standing to a server and returns the client's end.
func standingConn(s *Server, now *clock.Manual, want standing) (client net.Conn) {
	host, client := net.Pipe()
	c := newConn(s, host)
	s.addConn(c)
	switch want {
	case standingIdle:
		c.used = true
	case standingSlow:
		c.used, c.idle = true, false
		c.inFlight.Store(1)
		c.received.begin(now.Now())
	case standingBusy:
		c.used, c.idle = true, false
		c.inFlight.Store(1)
	case standingSilent:
	}
	go c.serve()
	return client
}

// TestConnectionsClosedToMakeRoom guards against busy connections that are closed for others,
// and against idle ones that are kept instead.
func TestConnectionsClosedToMakeRoom(t *testing.T) {
	Convey("a server with connections of each standing", t, func() {
		now := &clock.Manual{}
		now.Advance(clock.Hour)
		s := &Server{
			Clock: now, Log: slog.New(slog.DiscardHandler), MaxConnections: 4, conns: map[*conn]*readError{},
			Limits: func() config.Limits { return defaultLimits }, Bodies: &bodyBudget{Total: 1000},
		}
		open := map[standing]net.Conn{}
		for _, st := range []standing{standingSilent, standingIdle, standingSlow, standingBusy} {
			open[st] = standingConn(s, now, st)
		}
		Reset(func() {
			for _, nc := range open {
				_ = nc.Close()
			}
		})
		Convey("keeps a new connection that had no time to send a request", func() {
			now.Advance(firstRequestWait - 1)
			So(s.closeOne() != nil, ShouldBeTrue)
			So(closedByHost(open[standingIdle]), ShouldBeTrue)
		})
		Convey("closes silent ones first, then idle ones, then slow ones, and no others", func() {
			now.Advance(slowAfter)
			for _, st := range []standing{standingSilent, standingIdle, standingSlow} {
				So(s.makeRoom(), ShouldBeTrue)
				So(closedByHost(open[st]), ShouldBeTrue)
				open[st] = standingConn(s, now, standingBusy)
			}
			So(s.makeRoom(), ShouldBeFalse)
			So(s.OpenConnections(), ShouldEqual, 4)
		})
	})
}

// TestResponsesCutForMemory guards against clients that take a response slowly and are not told
// from those that take it fast.
func TestResponsesCutForMemory(t *testing.T) {
	Convey("a server that writes responses to three clients", t, func() {
		now := &clock.Manual{}
		now.Advance(clock.Hour)
		s := &Server{
			Clock: now, Log: slog.New(slog.DiscardHandler), MaxConnections: 4, conns: map[*conn]*readError{},
			Limits: func() config.Limits { return defaultLimits }, Bodies: &bodyBudget{Total: 1000},
		}
		So(s.reclaimResponse(), ShouldBeFalse)
		write := func() (*conn, net.Conn) {
			host, client := net.Pipe()
			c := newConn(s, host)
			s.addConn(c)
			c.sent.begin(now.Now())
			c.sent.add(now.Now(), 2*sendBufferBytes)
			now.Advance(1)
			return c, client
		}
		_, slow := write()
		_, slower := write()
		taken, fast := write()
		So(s.reclaimResponse(), ShouldBeTrue)
		now.Advance(slowAfter)
		taken.sent.add(now.Now(), minTransferRate)
		Convey("cuts the slow ones, the oldest first, and not the fast one", func() {
			So(s.reclaimResponse(), ShouldBeTrue)
			So(closedByHost(slow), ShouldBeTrue)
			So(s.reclaimResponse(), ShouldBeTrue)
			So(closedByHost(slower), ShouldBeTrue)
			So(s.reclaimResponse(), ShouldBeTrue)
			_ = fast.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
			So(closedByHost(fast), ShouldBeFalse)
		})
	})
}

// TestAbortedConnectionIsRemoved guards against connections that are closed for others and stay, as
// their reader waits to pass on a request and does not notice.
func TestAbortedConnectionIsRemoved(t *testing.T) {
	Convey("a connection with more pipelined requests than are read ahead, the first of which runs", t, func() {
		s := &Server{
			Clock: clock.NewSystem(), Log: slog.New(slog.DiscardHandler), MaxConnections: 4, conns: map[*conn]*readError{},
			Limits: func() config.Limits { return defaultLimits }, Bodies: &bodyBudget{Total: 1000},
			Handle: func(ctx context.Context, _ *fasthttp.Request, _ string) *Response {
				<-ctx.Done()
				return &Response{Status: fasthttp.StatusServiceUnavailable}
			},
		}
		host, client := net.Pipe()
		Reset(func() { _ = client.Close() })
		c := newConn(s, host)
		s.addConn(c)
		go c.serve()
		go func() {
			_, _ = io.WriteString(client, strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 3*maxPipelined))
		}()
		for len(c.requests) < maxPipelined {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(10 * time.Millisecond) // until the reader waits
		c.abort()
		removed := false
		select {
		case <-c.removed:
			removed = true
		case <-time.After(5 * time.Second):
		}
		So(removed, ShouldBeTrue)
	})
}

// closedByHost reports whether the other end of a connection has been closed.
func closedByHost(nc net.Conn) bool {
	_, err := nc.Read(make([]byte, 1))
	return errors.Is(err, io.EOF)
}

// TestSlowTransfer guards against clients that pass for fast ones because they sent much at first,
// or send a byte now and then.
func TestSlowTransfer(t *testing.T) {
	Convey("a transfer", t, func() {
		now := clock.Hour
		tr := &transfer{}
		shouldBeSlow := func(want bool) {
			since, slow := tr.slow(now)
			So(since, ShouldEqual, clock.Hour)
			So(slow, ShouldEqual, want)
		}
		tr.begin(now)
		shouldBeSlow(false)
		Convey("is slow when nothing has come", func() {
			now += slowAfter - 1
			shouldBeSlow(false)
			now++
			shouldBeSlow(true)
		})
		Convey("is slow as soon although much has come before", func() {
			tr.add(now, 100*minTransferRate)
			now += slowAfter
			shouldBeSlow(true)
		})
		Convey("is slow although a byte comes now and then", func() {
			for range 2 * slowAfter / 10 {
				now += 10
				tr.add(now, 1)
			}
			shouldBeSlow(true)
		})
		Convey("is not slow at the rate that is asked, nor afterwards", func() {
			for range 100 {
				now += slowAfter - 1
				tr.add(now, 2*minTransferRate)
				shouldBeSlow(false)
			}
		})
		Convey("is not slow after its end", func() {
			now += slowAfter
			tr.end()
			_, slow := tr.slow(now)
			So(slow, ShouldBeFalse)
		})
	})
}

// TestBodiesEndedForMemory guards against uploads that stop and keep others from being taken.
func TestBodiesEndedForMemory(t *testing.T) {
	Convey("an upload that stopped midway uses up the budget", t, func() {
		now := &clock.Manual{}
		now.Advance(clock.Hour)
		s := &Server{
			Clock: now, Log: slog.New(slog.DiscardHandler), MaxConnections: 4, conns: map[*conn]*readError{},
			Limits: func() config.Limits { return defaultLimits }, Bodies: &bodyBudget{Total: 1000},
		}
		s.Bodies.Reclaim = s.reclaimBody
		host, client := net.Pipe()
		c := newConn(s, host)
		s.addConn(c)
		go c.serve()
		Reset(func() { _ = client.Close() })
		_, err := io.WriteString(client, "PUT /x HTTP/1.1\r\nHost: a\r\nContent-Length: 900\r\n\r\nhalf")
		So(err, ShouldBeNil)
		for !c.body.Load() {
			time.Sleep(time.Millisecond)
		}
		other := bodyHold{budget: s.Bodies}
		Convey("and goes on as long as it is not slow", func() {
			now.Advance(slowAfter / 2)
			So(other.grow(200), ShouldBeFalse)
			So(c.stopped.Load(), ShouldBeFalse)
		})
		Convey("and ends for another one with a status that promises that it did not run", func() {
			now.Advance(slowAfter)
			taken := make(chan bool)
			go func() { taken <- other.grow(200) }()
			resp := &fasthttp.Response{}
			So(resp.Read(bufio.NewReader(client)), ShouldBeNil)
			So(resp.StatusCode(), ShouldEqual, fasthttp.StatusRequestTimeout)
			So(<-taken, ShouldBeTrue)
		})
		Convey("and does not end for one that can't be taken at all", func() {
			now.Advance(slowAfter)
			So(other.grow(1001), ShouldBeFalse)
			So(c.stopped.Load(), ShouldBeFalse)
		})
	})
}

func TestConnectionLimit(t *testing.T) {
	for _, c := range []struct{ memoryMB, descriptors, connections int }{
		{136, 2870, 696}, {536, 8192, 2744}, {64, 400, 105}, {1, minDescriptors, 5},
	} {
		Convey(fmt.Sprintf("%d MB and %d descriptors", c.memoryMB, c.descriptors), t, func() {
			So(newResources(&Settings{MemoryMB: c.memoryMB, MaxDescriptors: c.descriptors}).maxConnections, ShouldEqual, c.connections)
		})
	}
}

// TestMemoryParts guards against parts that are more than the whole together, and against limits
// that a single request inside the limits of the configuration meets.
func TestMemoryParts(t *testing.T) {
	for _, cfg := range []*Settings{{MemoryMB: 136, MaxDescriptors: 2870}, {MemoryMB: 241, MaxDescriptors: 3417}, {MemoryMB: 536, MaxDescriptors: 8192}} {
		Convey(fmt.Sprintf("%d MB and %d descriptors", cfg.MemoryMB, cfg.MaxDescriptors), t, func() {
			r := newResources(cfg)
			others := cfg.DirectoryConnections() + 2*cfg.OperatorConnections() + r.upstreams.Max
			So(r.bodies.Total+r.replies.Max+r.headers.Limit+r.connections.Limit+int64(others)*connectionBytes, ShouldBeLessThanOrEqualTo, r.memory.Total)
			So(int64(r.maxConnections)*connectionBytes, ShouldBeLessThanOrEqualTo, r.connections.Limit)
			So(r.maxConnections+others, ShouldBeLessThan, socketDescriptors(cfg)*9/10)
			So(r.upstreams.Max, ShouldBeGreaterThan, r.maxConnections*11/10)
			So(r.bodies.Lone, ShouldBeGreaterThanOrEqualTo, 64<<20)
			So(r.bodies.Lone, ShouldBeLessThan, r.memory.Total*9/10)
			So(r.replies.PerReply, ShouldBeGreaterThan, 4<<20)
			largest := &fasthttp.RequestHeader{}
			So(largest.Read(bufio.NewReaderSize(strings.NewReader("GET / HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("a:b\r\n", 16<<10/5)+"\r\n"), 32<<10)), ShouldBeNil)
			So(headerMemory(largest), ShouldBeLessThan, longHeldShare*float64(r.headers.Limit))
		})
	}
}
