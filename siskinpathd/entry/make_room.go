package entry

import (
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"siskinpath/core/clock"
)

// removalWait is how long makeRoom waits for a connection that it has closed.
const removalWait = 50 * clock.Millisecond

// Sizes of the kernel's buffers of a caller's connection. The kernel uses up to twice as much.
const (
	sendBufferBytes    = 64 << 10
	receiveBufferBytes = 64 << 10
)

var (
	connectionsRefused = metrics.NewCounter("caller_connections_refused_total")
	bodiesReclaimed    = metrics.NewCounter("request_bodies_ended_for_memory_total")
	responsesReclaimed = metrics.NewCounter("responses_cut_for_memory_total")
	connectionsClosed  = map[standing]*metrics.Counter{
		standingSilent: metrics.NewCounter(`caller_connections_closed_total{reason="silent"}`),
		standingIdle:   metrics.NewCounter(`caller_connections_closed_total{reason="idle"}`),
		standingSlow:   metrics.NewCounter(`caller_connections_closed_total{reason="slow"}`),
		standingGreedy: metrics.NewCounter(`caller_connections_closed_total{reason="greedy"}`),
	}
)

// standing tells which connections are closed first when there are too many: those with a lower
// one.
type standing int

const (
	standingSilent standing = iota // has sent nothing
	standingIdle                   // waits for another request
	standingSlow                   // sends a request, or takes a response, below minTransferRate
	standingGreedy                 // has pipelined more requests than there is memory for
	standingBusy                   // is not closed
)

func (s standing) String() string { return [...]string{"silent", "idle", "slow", "greedy", "busy"}[s] }

// standing returns the standing of the connection and since when it has it.
func (c *conn) standing(now clock.Millis) (s standing, since clock.Millis) {
	if c.aborted.Load() {
		return standingBusy, 0
	}
	if since, slow := c.sent.slow(now); slow {
		return standingSlow, since
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.noMore.Load():
		return standingGreedy, c.idleSince
	case c.closeWhenIdle, c.inFlight.Load() > 1:
		return standingBusy, 0
	case c.inFlight.Load() == 1:
		if since, slow := c.received.slow(now); slow {
			return standingSlow, since
		}
		return standingBusy, 0
	case !c.idle:
		return standingBusy, 0
	case c.used:
		return standingIdle, c.idleSince
	case now < c.idleSince+firstRequestWait:
		return standingBusy, 0
	}
	return standingSilent, c.idleSince
}

// makeRoom takes the memory of a new connection. It closes another one if there are as many as
// allowed, and returns false if the new one can't be taken.
func (s *Server) makeRoom() bool {
	if s.takeConnection() {
		return true
	}
	victim := s.closeOne()
	if victim == nil {
		return false
	}
	select {
	case <-victim.removed:
	case <-time.After(removalWait.Duration()):
	}
	return s.takeConnection()
}

func (s *Server) takeConnection() bool {
	return s.OpenConnections() < s.MaxConnections && s.Connections.Take(connectionBytes)
}

// closeOne closes the connection with the lowest standing, the oldest of these. It returns nil
// if there is none to be closed.
func (s *Server) closeOne() *conn {
	now := s.Clock.Now()
	victim, lowest, oldest := (*conn)(nil), standingBusy, clock.Millis(0)
	s.mu.Lock()
	for c := range s.conns {
		if st, since := c.standing(now); st < lowest || st == lowest && st < standingBusy && since < oldest {
			victim, lowest, oldest = c, st, since
		}
	}
	open := len(s.conns)
	s.mu.Unlock()
	if victim == nil {
		return nil
	}
	connectionsClosed[lowest].Inc()
	s.Log.Info("connection closed to make room", "peer", victim.RemoteAddr().String(), "state", lowest.String(), "for_ms", now-oldest,
		"open", open, "limit", s.MaxConnections)
	switch lowest {
	case standingSilent, standingIdle:
		victim.closeIdle()
	default:
		victim.abort()
	}
	return victim
}

// reclaimResponse ends the connection of the slowest client that takes a response, if there is
// one below minTransferRate. It reports whether any response is being written, whose memory will
// be free.
func (s *Server) reclaimResponse() (writing bool) {
	now := s.Clock.Now()
	var slowest *conn
	var oldest clock.Millis
	s.mu.Lock()
	for c := range s.conns {
		since, slow := c.sent.slow(now)
		writing = writing || since != 0
		if slow && !c.aborted.Load() && (slowest == nil || since < oldest) {
			slowest, oldest = c, since
		}
	}
	s.mu.Unlock()
	if slowest != nil {
		responsesReclaimed.Inc()
		slowest.abort()
	}
	return writing
}

// reclaimBody ends the slowest upload, if there is one below minTransferRate. It reports whether
// the memory of any upload that was ended will be free.
func (s *Server) reclaimBody() (ending bool) {
	now := s.Clock.Now()
	var slowest *conn
	var oldest clock.Millis
	s.mu.Lock()
	for c := range s.conns {
		if !c.body.Load() {
			continue
		}
		if c.stopped.Load() {
			ending = true
			continue
		}
		if since, slow := c.received.slow(now); slow && (slowest == nil || since < oldest) {
			slowest, oldest = c, since
		}
	}
	s.mu.Unlock()
	if slowest == nil {
		return ending
	}
	bodiesReclaimed.Inc()
	s.Log.Info("upload ended to make room", "peer", slowest.RemoteAddr().String(), "for_ms", now-oldest, "bytes", slowest.received.bytes.Load())
	slowest.stopBody()
	return true
}

// refuseConn closes a new connection. What its client sends has not been read.
func (s *Server) refuseConn(nc net.Conn) {
	connectionsRefused.Inc()
	s.Log.Warn("connection refused", "peer", nc.RemoteAddr().String(), "open", s.OpenConnections(), "limit", s.MaxConnections)
	_ = nc.Close()
}
