package relay

import (
	"net"

	"google.golang.org/protobuf/proto"

	"siskinpath/core/roster"
	"siskinpath/siskinpathd/relay/relaypb"
)

// outboxSize is how many messages may wait for a host that listens. One that is
// further behind is cut off and begins anew with whole tables.
const outboxSize = 256

// subscriber is a host that listens to this one.
type subscriber struct {
	nc   net.Conn
	out  chan *relaypb.FromWatcher
	host roster.Host
}

func (r *Relay) accept() {
	for {
		nc, err := r.ln.Accept()
		if err != nil {
			return // the listener was closed
		}
		go r.serve(nc)
	}
}

// serve sends a host all that is known and each change, until it is silent.
func (r *Relay) serve(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	in := newReader(nc)
	first := &relaypb.FromSubscriber{}
	if err := in.read(first); err != nil || first.GetSelf() == nil {
		r.Log.Warn("session refused", "peer", nc.RemoteAddr().String(), "err", err)
		return
	}
	s := &subscriber{nc: nc, out: make(chan *relaypb.FromWatcher, outboxSize), host: hostFromWire(first.GetSelf())}
	r.join(s)
	go s.send()
	for {
		m := &relaypb.FromSubscriber{}
		err := in.read(m)
		if err != nil {
			r.Log.Info("listener left", "host", s.host.ID, "err", err)
			break
		}
		if m.GetSelf() != nil {
			r.update(s, hostFromWire(m.GetSelf()))
		}
	}
	r.part(s)
}

// join adds a host that listens. What changes from here on reaches it after the
// whole tables.
func (r *Relay) join(s *subscriber) {
	r.mu.Lock()
	r.roster.Serves(s.host)
	hosts := []*relaypb.Host{hostToWire(r.roster.Self)}
	for _, h := range r.roster.Served() {
		hosts = append(hosts, hostToWire(h))
	}
	s.out <- &relaypb.FromWatcher{Hosts: hosts, StoreLost: r.Lost()}
	r.subscribers[s] = true
	r.mu.Unlock()
	for _, t := range r.Tables {
		if u, ok := t.Image(); ok {
			s.push(&relaypb.FromWatcher{Updates: []*relaypb.Update{updateToWire(u)}, StoreLost: r.Lost()})
		}
	}
	r.send(&relaypb.FromWatcher{Hosts: []*relaypb.Host{hostToWire(s.host)}, StoreLost: r.Lost()})
}

func (r *Relay) update(s *subscriber, h roster.Host) {
	r.mu.Lock()
	s.host = h
	r.roster.Serves(h)
	r.mu.Unlock()
	r.send(&relaypb.FromWatcher{Hosts: []*relaypb.Host{hostToWire(h)}, StoreLost: r.Lost()})
}

// part drops a host that no longer listens, unless it has opened a newer session.
func (r *Relay) part(s *subscriber) {
	r.mu.Lock()
	delete(r.subscribers, s)
	close(s.out)
	again := false
	for other := range r.subscribers {
		again = again || other.host.ID == s.host.ID
	}
	if !again {
		r.roster.Left(s.host.ID)
	}
	r.mu.Unlock()
	if !again {
		r.send(&relaypb.FromWatcher{Hosts: []*relaypb.Host{{Id: s.host.ID, Gone: true}}, StoreLost: r.Lost()})
	}
}

func (r *Relay) heartbeat() { r.send(&relaypb.FromWatcher{StoreLost: r.Lost()}) }

// send passes a message on to all who listen.
func (r *Relay) send(m *relaypb.FromWatcher) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for s := range r.subscribers {
		updatesSent.Inc()
		s.push(m)
	}
}

// push queues a message. A host whose queue is full is cut off.
func (s *subscriber) push(m *relaypb.FromWatcher) {
	select {
	case s.out <- m:
	default:
		_ = s.nc.Close()
	}
}

func (s *subscriber) send() {
	for m := range s.out {
		if write(s.nc, proto.Message(m)) != nil {
			_ = s.nc.Close() // its reader ends and drops it
		}
	}
}
