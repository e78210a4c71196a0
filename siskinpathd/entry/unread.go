package entry

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"siskinpath/core/clock"
	"siskinpath/siskinpathd/memory"
	"siskinpath/siskinpathd/tcp"
)

// maxUnread is what the kernel holds at most of the responses on one connection: twice the size
// of its buffer, and a packet that it takes before it looks at the size.
const maxUnread = 3 * sendBufferBytes

// unreadSoftShare is the share of the limit above which slow clients are cut off.
const unreadSoftShare = 0.5

var unreadCut = metrics.NewCounter("connections_cut_unread_total")

// unreadBudget limits what the kernel holds of responses that were written and that clients have
// not taken. It counts each response when it has been written, and asks the kernel what is left
// only when the limit is reached.
type unreadBudget struct {
	Memory *memory.Part
	Unsent func(c *conn) int // tcp.Unsent, or another function in tests

	mu    sync.Mutex
	conns map[*conn]*unread
}

// unread is what is counted for a connection.
type unread struct {
	bytes int64
	since clock.Millis // time of the last response
}

func newUnreadBudget(limit int64) *unreadBudget {
	return &unreadBudget{
		Memory: &memory.Part{Limit: limit}, Unsent: func(c *conn) int { return tcp.Unsent(c.Conn) }, conns: map[*conn]*unread{},
	}
}

// add counts n bytes that were written to a connection. Above half of the limit it cuts off the
// connections that have been slow for longest, and above the limit the oldest ones; never c
// itself.
func (b *unreadBudget) add(c *conn, n int) {
	if b == nil || n <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.conns[c]
	if u == nil {
		u = &unread{}
		b.conns[c] = u
	}
	u.since = c.server.Clock.Now()
	more := min(int64(n), maxUnread-u.bytes)
	if !b.Memory.TakeWithin(more, unreadSoftShare) {
		b.refresh()
		if !b.makeRoom(c, more) {
			return
		}
	}
	u.bytes += more
}

// makeRoom takes n bytes for a connection after it has cut off others if need be. b.mu must be
// held.
func (b *unreadBudget) makeRoom(c *conn, n int64) bool {
	for slow := true; slow; slow = b.cutOldest(c, slowAfter) {
		if b.Memory.TakeWithin(n, unreadSoftShare) {
			return true
		}
	}
	for oldest := true; oldest; oldest = b.cutOldest(c, 0) {
		if b.Memory.Take(n) {
			return true
		}
	}
	return false
}

// refresh asks the kernel what is left of the counted bytes. b.mu must be held.
func (b *unreadBudget) refresh() {
	for c, u := range b.conns {
		left := min(u.bytes, int64(b.Unsent(c)))
		b.Memory.Release(u.bytes - left)
		u.bytes = left
	}
}

// cutOldest cuts off the connection, other than one, with the oldest bytes that the kernel still
// holds, if they have a minimum age. b.mu must be held.
func (b *unreadBudget) cutOldest(other *conn, minAge clock.Millis) bool {
	var victim *conn
	newest := other.server.Clock.Now() - minAge
	for c, u := range b.conns {
		if c != other && u.bytes > 0 && u.since <= newest && (victim == nil || u.since < b.conns[victim].since) {
			victim = c
		}
	}
	if victim == nil {
		return false
	}
	u := b.conns[victim]
	unreadCut.Inc()
	victim.server.Log.Info("connection cut, as its client does not take the last response", "peer", victim.RemoteAddr().String(),
		"bytes", u.bytes, "for_ms", victim.server.Clock.Now()-u.since)
	victim.abort()
	b.Memory.Release(u.bytes)
	u.bytes = 0
	return true
}

// remove forgets a connection.
func (b *unreadBudget) remove(c *conn) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if u := b.conns[c]; u != nil {
		b.Memory.Release(u.bytes)
		delete(b.conns, c)
	}
}
