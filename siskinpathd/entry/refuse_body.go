package entry

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"siskinpath/core/clock"
	"siskinpath/core/place"
)

// errBodyStopping is the error of a request that the host could not answer any more when its body
// is complete. It is compared by identity.
var errBodyStopping = &readError{status: fasthttp.StatusServiceUnavailable, reason: reasonStopping, retryAfter: place.StoppingRetryAfter}

// bodyRequest is what is known of a request while its body is read.
type bodyRequest struct {
	timeLeft   clock.Millis // from the end of the body to the latest answer
	idempotent bool
}

// describeBody returns what a header says of its request. One that no route matches takes no
// time.
func (n *Node) describeBody(h *fasthttp.RequestHeader) (b bodyRequest) {
	cfg := n.config.Load()
	if cfg == nil {
		return b
	}
	path, _, _ := bytes.Cut(h.RequestURI(), []byte("?"))
	if rt := cfg.Lookup(string(h.Host()), string(path)); rt != nil {
		b.timeLeft, b.idempotent = min(rt.Timeout, n.timeLeft(h, rt)), rt.Idempotent
	}
	return b
}

// refusesBody reports whether the host, which stops, could not answer b if its body ended now.
func (s *Server) refusesBody(b bodyRequest) bool {
	stop := s.stop.Load()
	now := s.Clock.Now()
	return stop != nil && stop.Excludes(now, now+b.timeLeft, b.idempotent)
}

// SetStop makes the server refuse requests with bodies that it could not answer any more.
func (s *Server) SetStop(stop place.Stop) { s.stop.Store(&stop) }

// RefuseBodies ends the reading of the bodies whose requests could not be answered any more,
// or of all bodies.
func (s *Server) RefuseBodies(all bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.body.Load() && (all || s.refusesBody(*c.reading.Load())) {
			c.refuseBody()
		}
	}
}

// refuseBody ends the reading of a body, as the host stops.
func (c *conn) refuseBody() {
	if c.refused.CompareAndSwap(false, true) {
		c.stopBody()
	}
}
