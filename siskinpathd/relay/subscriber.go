package relay

import (
	"net"
	"time"

	"siskinpath/core/overlay"
	"siskinpath/siskinpathd/relay/relaypb"
)

// outboxSize is how many messages may wait for a host that listens. One that is
// further behind is cut off.
const outboxSize = 64

// listener is a host that listens to this one.
type listener struct {
	nc   net.Conn
	out  chan []byte
	host overlay.Host
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

// serve answers a host that listens until it is silent.
func (r *Relay) serve(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	in := newReader(nc)
	first := &relaypb.FromListener{}
	if err := in.read(first); err != nil || first.GetSelf() == nil {
		r.Log.Warn("session refused", "peer", nc.RemoteAddr().String(), "err", err)
		return
	}
	l := &listener{nc: nc, out: make(chan []byte, outboxSize), host: hostFromWire(first.GetSelf())}
	r.join(l)
	go l.send()
	for {
		m := &relaypb.FromListener{}
		err := in.read(m)
		if err != nil {
			r.Log.Info("listener left", "host", l.host.ID, "err", err)
			break
		}
		r.answer(l, m)
	}
	r.part(l)
}

// answer takes in a message of a host that listens.
func (r *Relay) answer(l *listener, m *relaypb.FromListener) {
	if m.GetSelf() != nil {
		r.mu.Lock()
		l.host = hostFromWire(m.GetSelf())
		r.roster.AddSubscriber(l.host)
		r.tellHost(m.GetSelf())
		r.mu.Unlock()
	}
	for _, f := range m.GetFetches() {
		t := r.Tables[f.GetTable()]
		if t == nil {
			continue
		}
		if u, ok := t.ChangesSince(f.GetAfter()); ok {
			updatesSent.Inc()
			l.push(encode(&relaypb.FromWatcher{Updates: []*relaypb.Update{updateToWire(u)}, StoreLost: r.lost()}))
		}
	}
}

// join adds a host that listens, and tells it what is known.
func (r *Relay) join(l *listener) {
	m := r.state()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roster.AddSubscriber(l.host)
	m.Hosts = []*relaypb.Host{hostToWire(r.roster.Self)}
	for _, h := range r.roster.Subscribers() {
		if h.AvailabilityZone == l.host.AvailabilityZone {
			m.Hosts = append(m.Hosts, hostToWire(h))
		}
	}
	m.HostCount = uint32(r.roster.Size())
	l.push(encode(m))
	r.listeners[l] = true
	r.tellHost(hostToWire(l.host))
}

// part drops a host that no longer listens, unless it has opened a newer session.
func (r *Relay) part(l *listener) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.listeners, l)
	close(l.out)
	for other := range r.listeners {
		if other.host.ID == l.host.ID {
			return
		}
	}
	r.roster.RemoveSubscriber(l.host.ID)
	r.tellHost(&relaypb.Host{Id: l.host.ID, AvailabilityZone: l.host.AvailabilityZone, Gone: true})
}

// state says at which version each table last changed.
func (r *Relay) state() *relaypb.FromWatcher {
	m := &relaypb.FromWatcher{StoreLost: r.lost()}
	for name, t := range r.Tables {
		if v, known := t.LastChange(); known {
			m.Known = append(m.Known, &relaypb.Known{Table: name, Version: v})
		}
	}
	return m
}

// heartbeat tells all who listen that this host lives and what it knows.
func (r *Relay) heartbeat() {
	m := r.state()
	r.mu.Lock()
	defer r.mu.Unlock()
	m.HostCount = uint32(r.roster.Size())
	b := encode(m)
	for l := range r.listeners {
		l.push(b)
	}
}

// AnnounceVersion tells all who listen that a table has changed. It is called with the
// table locked.
func (r *Relay) AnnounceVersion(table string, version int64) {
	b := encode(&relaypb.FromWatcher{Known: []*relaypb.Known{{Table: table, Version: version}}, StoreLost: r.lost()})
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.listeners {
		l.push(b)
	}
}

// tellHost passes a change of a host on, together with others that come soon
// after. r.mu is held.
func (r *Relay) tellHost(h *relaypb.Host) {
	r.news = append(r.news, h)
	if len(r.news) == 1 {
		time.AfterFunc(hostsWithin.Duration(), r.tellHosts)
	}
}

// tellHosts tells each host that listens of the hosts in its availability zone,
// and of this one.
func (r *Relay) tellHosts() {
	lost := r.lost()
	r.mu.Lock()
	defer r.mu.Unlock()
	byZone := map[string][]byte{}
	for l := range r.listeners {
		zone := l.host.AvailabilityZone
		b, made := byZone[zone]
		if !made {
			b = r.encodeNews(zone, lost)
			byZone[zone] = b
		}
		if b != nil {
			l.push(b)
		}
	}
	r.news = nil
}

func (r *Relay) encodeNews(zone string, lost bool) []byte {
	m := &relaypb.FromWatcher{StoreLost: lost, HostCount: uint32(r.roster.Size())}
	for _, h := range r.news {
		if h.GetAvailabilityZone() == zone || h.GetId() == r.Self.ID {
			m.Hosts = append(m.Hosts, h)
		}
	}
	if len(m.Hosts) == 0 {
		return nil
	}
	return encode(m)
}

// push queues an encoded message. A host whose queue is full is cut off.
func (l *listener) push(b []byte) {
	select {
	case l.out <- b:
	default:
		_ = l.nc.Close()
	}
}

func (l *listener) send() {
	for b := range l.out {
		if writeBytes(l.nc, b) != nil {
			_ = l.nc.Close() // its reader ends and drops it
		}
	}
}
