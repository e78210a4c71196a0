package relay

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"siskinpath/core/roster"
	"siskinpath/siskinpathd/relay/relaypb"
)

// listen opens sessions to the hosts to listen to, and ends those to others once
// all of these are open.
func (r *Relay) listen(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	wanted := map[string]bool{}
	all := true
	for _, h := range r.roster.Targets(r.Clock.Now()) {
		wanted[h.ID] = true
		if r.listening[h.ID] == nil {
			all = false
			ctx, cancel := context.WithCancel(ctx)
			r.listening[h.ID] = cancel
			go r.session(ctx, h)
		}
	}
	if !all {
		return
	}
	for id, cancel := range r.listening {
		if !wanted[id] {
			cancel()
		}
	}
}

// session listens to one host until it fails or ctx ends.
func (r *Relay) session(ctx context.Context, h roster.Host) {
	err := r.hear(ctx, h)
	if ctx.Err() == nil {
		sessionsLost.Inc()
		r.Log.Info("session lost", "host", h.ID, "address", h.PeerAddress, "err", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listening[h.ID]()
	delete(r.listening, h.ID)
	r.roster.Closed(r.Clock.Now(), h.ID)
}

func (r *Relay) hear(ctx context.Context, h roster.Host) (err error) {
	d := net.Dialer{Timeout: dialTimeout.Duration()}
	nc, err := d.DialContext(ctx, "tcp", h.PeerAddress)
	if err != nil {
		return err
	}
	defer func() { _ = nc.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = nc.Close() })
	defer stop()
	if err = write(nc, &relaypb.FromSubscriber{Self: hostToWire(r.self())}); err != nil {
		return err
	}
	r.mu.Lock()
	r.roster.Opened(h.ID)
	r.mu.Unlock()
	sessionsOpened.Inc()
	r.Log.Info("session opened", "host", h.ID, "address", h.PeerAddress)
	go r.beat(ctx, nc)
	in := newReader(nc)
	begun := map[string]bool{} // tables that it has sent whole
	for {
		m := &relaypb.FromWatcher{}
		if err = in.read(m); err != nil {
			return err
		}
		r.takeHosts(h.ID, m)
		if err = r.takeTables(m, begun); err != nil {
			return err
		}
	}
}

// beat sends heartbeats to a host that is listened to until the session ends.
func (r *Relay) beat(ctx context.Context, nc net.Conn) {
	t := time.NewTicker(roster.HeartbeatEvery.Duration())
	defer t.Stop()
	told := r.self()
	for {
		r.mu.Lock()
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-changed:
		}
		m := &relaypb.FromSubscriber{}
		if now := r.self(); now != told {
			m.Self = hostToWire(now)
			told = now
		}
		if write(nc, m) != nil {
			return // the reader of the session sees why
		}
	}
}

// takeHosts takes in what a host that is listened to says of itself and others.
func (r *Relay) takeHosts(id string, m *relaypb.FromWatcher) {
	var hosts []roster.Host
	var gone []string
	for _, h := range m.GetHosts() {
		if h.GetGone() {
			gone = append(gone, h.GetId())
		} else {
			hosts = append(hosts, hostFromWire(h))
		}
	}
	r.mu.Lock()
	r.roster.Heard(id, m.GetStoreLost(), hosts, gone)
	lost := r.roster.StoreLost()
	r.mu.Unlock()
	if lost {
		r.OnLost()
	}
}

// takeTables takes in changes. A gap in them ends the session, as a new one
// begins with whole tables.
func (r *Relay) takeTables(m *relaypb.FromWatcher, begun map[string]bool) (err error) {
	for _, w := range m.GetUpdates() {
		t := r.Tables[w.GetTable()]
		if t == nil {
			continue
		}
		updatesTaken.Inc()
		u := updateFromWire(w)
		if !t.Take(u) && begun[u.Table] {
			return errors.Errorf("table %q has a gap before version %d", u.Table, u.Version)
		}
		begun[u.Table] = begun[u.Table] || u.Whole
	}
	return nil
}
