package entry

import (
	"log/slog"
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
	"siskinpath/core/config"
)

// TestUnreadResponses guards against responses that clients leave in the kernel, and against
// cutting off those that take theirs.
func TestUnreadResponses(t *testing.T) {
	Convey("a budget for the unread responses of two connections", t, func() {
		now := &clock.Manual{}
		s := &Server{Clock: now, Log: slog.New(slog.DiscardHandler), Limits: func() config.Limits { return defaultLimits }, conns: map[*conn]*readError{}}
		b := newUnreadBudget(4 * maxUnread)
		s.Unread = b
		unsent := map[*conn]int{}
		b.Unsent = func(c *conn) int { return unsent[c] }
		var clients []net.Conn
		connect := func() *conn {
			host, client := net.Pipe()
			clients = append(clients, client)
			c := newConn(s, host)
			s.addConn(c)
			return c
		}
		Reset(func() {
			for _, nc := range clients {
				_ = nc.Close()
			}
		})
		first, second, third := connect(), connect(), connect()
		write := func(c *conn, n int) {
			now.Advance(1)
			unsent[c] = min(maxUnread, unsent[c]+n)
			b.add(c, n)
		}
		write(first, 10*maxUnread)
		write(second, maxUnread)
		Convey("counts no more for a connection than the kernel holds", func() {
			So(b.Memory.InUse(), ShouldEqual, 2*maxUnread)
		})
		Convey("cuts nobody off when the clients have taken their responses meanwhile", func() {
			unsent[first], unsent[second] = 0, 100
			write(third, maxUnread)
			So(first.aborted.Load() || second.aborted.Load() || third.aborted.Load(), ShouldBeFalse)
			So(b.Memory.InUse(), ShouldEqual, maxUnread+100)
		})
		Convey("cuts nobody off above half of the limit who has had no time", func() {
			write(third, 100)
			So(first.aborted.Load() || second.aborted.Load() || third.aborted.Load(), ShouldBeFalse)
		})
		Convey("cuts off the client that has taken nothing for longest, above half of the limit when it had time", func() {
			now.Advance(slowAfter)
			write(third, 100)
			So(first.aborted.Load(), ShouldBeTrue)
			So(second.aborted.Load() || third.aborted.Load(), ShouldBeFalse)
			So(b.Memory.InUse(), ShouldEqual, maxUnread+100)
		})
		Convey("cuts it off at once above the limit", func() {
			write(third, maxUnread)
			fourth, fifth := connect(), connect()
			write(fourth, maxUnread)
			So(first.aborted.Load(), ShouldBeFalse)
			write(fifth, 100)
			So(first.aborted.Load(), ShouldBeTrue)
			So(second.aborted.Load() || third.aborted.Load() || fourth.aborted.Load() || fifth.aborted.Load(), ShouldBeFalse)
		})
		Convey("never cuts off the one that has just got a response", func() {
			b.remove(first)
			b.remove(second)
			b.Memory.Limit = 10
			write(third, 100)
			So(third.aborted.Load(), ShouldBeFalse)
		})
		Convey("forgets closed connections", func() {
			b.remove(first)
			b.remove(first)
			So(b.Memory.InUse(), ShouldEqual, maxUnread)
		})
	})
}
