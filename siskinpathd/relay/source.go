package relay

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"siskinpath/core/clock"
	"siskinpath/core/overlay"
	"siskinpath/siskinpathd/relay/relaypb"
	"siskinpath/siskinpathd/watch"
)

const (
	// nearGrace is how long a change that a host of another availability zone knows
	// may still come from one of this zone.
	nearGrace = 200 * clock.Millisecond
	// fetchTimeout is how long a fetch may take before another is sent.
	fetchTimeout = 400 * clock.Millisecond
)

// session is a connection to a host that this one listens to.
type session struct {
	host   overlay.Host
	cancel context.CancelFunc
	open   bool
	out    chan *relaypb.Fetch
}

// fetchQueue is how many fetches may wait to be sent: two for each table.
const fetchQueue = 4

// listen opens sessions to the hosts to listen to, and ends those to others once
// all of these are open.
func (r *Relay) listen(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	wanted := map[string]bool{}
	all := true
	for _, h := range r.roster.Sources(r.Clock.Now()) {
		wanted[h.ID] = true
		s := r.sessions[h.ID]
		if s == nil {
			s = &session{host: h, out: make(chan *relaypb.Fetch, fetchQueue)}
			var sctx context.Context
			sctx, s.cancel = context.WithCancel(ctx)
			r.sessions[h.ID] = s
			go r.session(sctx, s)
		}
		all = all && s.open
	}
	if !all {
		return
	}
	for id, s := range r.sessions {
		if !wanted[id] {
			s.cancel()
		}
	}
}

// session listens to one host until that fails or ctx ends.
func (r *Relay) session(ctx context.Context, s *session) {
	err := r.hear(ctx, s)
	if ctx.Err() == nil {
		sessionsLost.Inc()
		r.Log.Info("session lost", "host", s.host.ID, "address", s.host.PeerAddress, "err", err)
	}
	s.cancel()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.sessions, s.host.ID)
	r.roster.SessionClosed(r.Clock.Now(), s.host.ID)
}

func (r *Relay) hear(ctx context.Context, s *session) (err error) {
	d := net.Dialer{Timeout: dialTimeout.Duration()}
	nc, err := d.DialContext(ctx, "tcp", s.host.PeerAddress)
	if err != nil {
		return err
	}
	defer func() { _ = nc.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = nc.Close() })
	defer stop()
	self, changed := r.self()
	if err = write(nc, &relaypb.FromListener{Self: hostToWire(self)}); err != nil {
		return err
	}
	r.opened(s)
	ended := make(chan struct{})
	defer close(ended)
	go r.talk(nc, s, changed, ended)
	in := newReader(nc)
	for {
		m := &relaypb.FromWatcher{}
		if err = in.read(m); err != nil {
			return err
		}
		r.takeHosts(s, m)
		r.takeVersions(s, m)
		if err = r.takeUpdates(m); err != nil {
			return err
		}
	}
}

func (r *Relay) opened(s *session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.open = true
	r.roster.SessionOpened(s.host.ID)
	sessionsOpened.Inc()
	r.Log.Info("session opened", "host", s.host.ID, "address", s.host.PeerAddress)
}

// talk sends heartbeats and fetches to a host that is listened to.
func (r *Relay) talk(nc net.Conn, s *session, changed, ended <-chan struct{}) {
	t := time.NewTicker(overlay.HeartbeatInterval.Duration())
	defer t.Stop()
	for {
		m := &relaypb.FromListener{}
		select {
		case <-ended:
			return
		case <-t.C:
		case f := <-s.out:
			m.Fetches = append(m.Fetches, f)
		case <-changed:
			var self overlay.Host
			self, changed = r.self()
			m.Self = hostToWire(self)
		}
		if write(nc, m) != nil {
			return // the reader of the session sees why
		}
	}
}

// takeHosts takes in what a host that is listened to says of itself and others.
func (r *Relay) takeHosts(s *session, m *relaypb.FromWatcher) {
	var hosts []overlay.Host
	var gone []string
	for _, h := range m.GetHosts() {
		if h.GetGone() {
			gone = append(gone, h.GetId())
		} else {
			hosts = append(hosts, hostFromWire(h))
		}
	}
	r.mu.Lock()
	r.roster.HandleUpdate(r.Clock.Now(), s.host.ID, m.GetStoreLost(), int(m.GetHostCount()), hosts, gone)
	lost := r.roster.StoreLost()
	r.mu.Unlock()
	if lost {
		r.OnStoreLost()
	}
}

// takeVersions fetches what the other host knows and this one does not.
func (r *Relay) takeVersions(s *session, m *relaypb.FromWatcher) {
	for _, k := range m.GetKnown() {
		t := r.Tables[k.GetTable()]
		if t == nil || !behind(t, k.GetVersion()) {
			continue
		}
		if r.isNear(s) || !r.hasNear() {
			r.fetch(s, t, k)
			continue
		}
		time.AfterFunc(nearGrace.Duration(), func() {
			if behind(t, k.GetVersion()) {
				r.fetch(s, t, k)
			}
		})
	}
}

func behind(t watch.Replica, version int64) bool {
	known, ok := t.Version()
	return !ok || known < version
}

// fetch asks for what is missing, and asks somebody else when it does not come.
func (r *Relay) fetch(s *session, t watch.Replica, k *relaypb.Known) {
	after, ok := t.Version()
	if !ok {
		after = -1
	}
	select {
	case s.out <- &relaypb.Fetch{Table: k.GetTable(), After: after}:
	default:
		return // it was asked already and does not answer
	}
	time.AfterFunc(fetchTimeout.Duration(), func() {
		if behind(t, k.GetVersion()) {
			r.fetchElsewhere(s, t, k)
		}
	})
}

func (r *Relay) fetchElsewhere(tried *session, t watch.Replica, k *relaypb.Known) {
	r.mu.Lock()
	var other *session
	for _, s := range r.sessions {
		if s != tried && s.open {
			other = s
		}
	}
	r.mu.Unlock()
	if other != nil {
		r.fetch(other, t, k)
	}
}

func (r *Relay) isNear(s *session) bool { return s.host.AvailabilityZone == r.Self.AvailabilityZone }

func (r *Relay) hasNear() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.sessions {
		if s.open && r.isNear(s) {
			return true
		}
	}
	return false
}

// takeUpdates takes in the answers to fetches.
func (r *Relay) takeUpdates(m *relaypb.FromWatcher) (err error) {
	for _, w := range m.GetUpdates() {
		t := r.Tables[w.GetTable()]
		if t == nil {
			return errors.Errorf("table %q is not known here", w.GetTable())
		}
		updatesTaken.Inc()
		t.Merge(updateFromWire(w)) // one that has a gap is fetched again with the next version
	}
	return nil
}
