package peer

import (
	"github.com/pkg/errors"

	"siskinpath/core/membership"
	"siskinpath/siskinpathd/peer/peerpb"
)

// sessions are the links with one host.
type sessions struct {
	dialled  *session
	accepted *session

	// The newest incarnation that was proven alive: it was, at some point
	// before the point proven of Transport.tick.
	incarnation membership.Incarnation
	proven      uint64
}

// identify takes in who the other side is. It must have been alive after
// s.began. An incarnation that can't be told to be the newest is turned away,
// so that the heartbeats of one host never arrive out of the order of its
// incarnations.
func (s *session) identify(c *peerpb.Control) (err error) {
	who := identity{id: c.GetHostId(), incarnation: membership.Incarnation(c.GetIncarnation())}
	if who.id == "" || who.incarnation == 0 {
		return errors.New("nameless host")
	}
	if s.target == nil {
		s.began = s.link.tick()
		if _, err := s.mux.Ping(); err != nil {
			return err
		}
	}
	s.answered.Store(true)
	s.settleAddress(who)
	if s.target != nil && who.id != s.target.id {
		s.link.count.wrongHost.Inc()
		return errWrongHost
	}
	if !s.link.register(s, who) {
		s.link.count.staleLinks.Inc()
		return errStale
	}
	return nil
}

// Reasons for turning a link away that are no corrupt frame.
var (
	errWrongHost = errors.New("another host listens at this address")
	errStale     = errors.New("not the newest incarnation")
)

// settleAddress draws the conclusion of a handshake for a dialled address:
// whoever listened there before dialling, and isn't who answered, has ended.
func (s *session) settleAddress(who identity) {
	if s.target == nil {
		return
	}
	var dead []membership.Incarnation
	for _, i := range s.known {
		if who.id != s.target.id || i != who.incarnation {
			dead = append(dead, i)
		}
	}
	s.target.buried(dead)
	if who.id == s.target.id {
		s.link.mu.Lock()
		s.target.learn(who.incarnation)
		s.link.mu.Unlock()
	}
}

// register makes s the link of who, unless who may not be the newest
// incarnation.
func (l *Transport) register(s *session, who identity) bool {
	l.deliver.Lock()
	defer l.deliver.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.tick()
	h := l.hosts[who.id]
	if h == nil {
		h = &sessions{}
		l.hosts[who.id] = h
	}
	if h.incarnation != who.incarnation {
		if s.began < h.proven {
			return false // the two may have run in either order
		}
		h.retire()
		h.incarnation, h.proven = who.incarnation, now
	}
	s.peer = who
	h.put(s)
	close(s.identified)
	l.count.links.Inc()
	return true
}

// retire ends the links of an incarnation that has been followed by another.
func (h *sessions) retire() {
	for _, s := range []*session{h.dialled, h.accepted} {
		if s != nil {
			_ = s.mux.Close()
		}
	}
	h.dialled, h.accepted = nil, nil
}

// put keeps the newer of two links of the same direction.
func (h *sessions) put(s *session) {
	place := &h.accepted
	if s.target != nil {
		place = &h.dialled
	}
	if *place != nil {
		_ = (*place).mux.Close()
	}
	*place = s
}

// remove forgets an ended session.
func (l *Transport) remove(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.hosts[s.peer.id]
	if h == nil {
		return
	}
	l.count.links.Dec()
	if h.dialled == s {
		h.dialled = nil
	}
	if h.accepted == s {
		h.accepted = nil
	}
}

// to gives the link to a host, or nil: the dialled one goes first.
func (l *Transport) to(hostID string) *session {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.hosts[hostID]
	switch {
	case h == nil:
		return nil
	case h.dialled != nil:
		return h.dialled
	}
	return h.accepted
}

// newest tells whether s still speaks for the newest incarnation of its host.
// Called with l.deliver held.
func (l *Transport) newest(s *session) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.hosts[s.peer.id]
	return h != nil && h.incarnation == s.peer.incarnation
}

// Connected tells whether there is a link to a host now.
func (l *Transport) Connected(hostID string) bool {
	l.once.Do(l.start)
	return l.to(hostID) != nil
}
