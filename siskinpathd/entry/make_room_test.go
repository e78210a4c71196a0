package entry

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

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
		write := func(bytes int) net.Conn {
			host, client := net.Pipe()
			c := newConn(s, host)
			s.addConn(c)
			c.sent.begin(now.Now())
			c.sent.add(bytes)
			now.Advance(1)
			return client
		}
		slow, slower, fast := write(2*sendBufferBytes), write(2*sendBufferBytes), write(2*sendBufferBytes+2*minTransferRate)
		So(s.reclaimResponse(), ShouldBeTrue)
		now.Advance(slowAfter)
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

// closedByHost reports whether the other end of a connection has been closed.
func closedByHost(nc net.Conn) bool {
	_, err := nc.Read(make([]byte, 1))
	return errors.Is(err, io.EOF)
}

// TestSlowTransfer guards against clients that pass for fast ones by sending a byte now and then.
func TestSlowTransfer(t *testing.T) {
	for _, c := range []struct {
		after clock.Millis
		bytes int
		slow  bool
	}{
		{slowAfter - 1, 0, false}, {slowAfter, 0, true}, {slowAfter, minTransferRate - 1, true}, {slowAfter, minTransferRate, false},
		{10 * slowAfter, 10*minTransferRate - 1, true}, {10 * slowAfter, 10 * minTransferRate, false},
	} {
		Convey(fmt.Sprintf("%d bytes in %d ms", c.bytes, c.after), t, func() {
			tr := &transfer{}
			tr.begin(clock.Hour)
			tr.add(c.bytes)
			since, slow := tr.slow(clock.Hour+c.after, 0)
			So(since, ShouldEqual, clock.Hour)
			So(slow, ShouldEqual, c.slow)
			tr.end()
			_, slow = tr.slow(clock.Hour+c.after, 0)
			So(slow, ShouldBeFalse)
		})
	}
}

func TestConnectionLimit(t *testing.T) {
	for _, c := range []struct{ memoryMB, descriptors, connections int }{
		{136, 2870, 870}, {536, 8192, 3196}, {64, 400, 120}, {1, minDescriptors, 6},
	} {
		Convey(fmt.Sprintf("%d MB and %d descriptors", c.memoryMB, c.descriptors), t, func() {
			So(newResources(&Settings{MemoryMB: c.memoryMB, MaxDescriptors: c.descriptors}).maxConnections, ShouldEqual, c.connections)
		})
	}
}
