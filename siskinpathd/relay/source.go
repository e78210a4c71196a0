package relay

import (
	"context"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"siskinpath/core/clock"
	"siskinpath/core/overlay"
	"siskinpath/core/revision"
	"siskinpath/siskinpathd/relay/relaypb"
	"siskinpath/siskinpathd/watch"
)

const (
	// sameZoneWait is how long a change announced by a source in another
	// availability zone may still arrive from a source in this zone before it is
	// fetched from the other zone.
	sameZoneWait = 200 * clock.Millisecond
)

// session is a connection to a source: a host that this one receives changes from.
type session struct {
	host   overlay.Host
	cancel context.CancelFunc
	open   bool
	out    chan *relaypb.Fetch
	events []*relaypb.CrashEvent // to be sent; guarded by Relay.mu
	// eventsAdded signals that there are events to be sent.
	eventsAdded chan struct{}
	// sendsEras is set once the source has sent an era, which older releases do not.
	// Only the goroutine that receives its messages uses it.
	sendsEras bool
	// sendsProofs is the same for proven ages.
	sendsProofs bool
	// sourceSent is the last time of its own clock that the source has sent, nil for none.
	sourceSent atomic.Pointer[int64]
	// subscribersSent is the version of this host's subscribers that the source knows.
	subscribersSent uint64
	// ended is set before the fetches of the session are sent to other sources.
	ended atomic.Bool
	// sentInvalid is set once the source has sent packed rows that can't be unpacked.
	sentInvalid atomic.Bool
}

// updateSessions opens sessions to the sources that the overlay chooses. It
// closes sessions to other hosts once all of these are open.
func (r *Relay) updateSessions(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	wanted := map[string]bool{}
	allOpen := true
	for _, h := range r.overlay.Sources(r.Clock.Now()) {
		wanted[h.ID] = true
		s := r.sessions[h.ID]
		if s == nil {
			s = &session{host: h, out: make(chan *relaypb.Fetch, fetchQueueSize), eventsAdded: make(chan struct{}, 1)}
			var sctx context.Context
			sctx, s.cancel = context.WithCancel(ctx)
			r.sessions[h.ID] = s
			go r.runSession(sctx, s)
		}
		allOpen = allOpen && s.open
	}
	if !allOpen {
		return
	}
	for id, s := range r.sessions {
		if !wanted[id] {
			s.cancel()
		}
	}
}

// runSession receives changes from one source until that fails or ctx ends.
func (r *Relay) runSession(ctx context.Context, s *session) {
	err := r.receive(ctx, s)
	if ctx.Err() == nil {
		sessionsLost.Inc()
		r.Log.Info("session lost", "host", s.host.ID, "address", s.host.PeerAddress, "err", err)
	}
	s.cancel()
	r.mu.Lock()
	delete(r.sessions, s.host.ID)
	r.overlay.SessionClosed(r.Clock.Now(), s.host.ID)
	r.mu.Unlock()
	s.ended.Store(true)
	r.repeatFetches(s)
}

// receive connects to a source and handles its messages.
func (r *Relay) receive(ctx context.Context, s *session) (err error) {
	d := net.Dialer{Timeout: dialTimeout.Duration()}
	nc, err := d.DialContext(ctx, "tcp", s.host.PeerAddress)
	if err != nil {
		return err
	}
	defer func() { _ = nc.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = nc.Close() })
	defer stop()
	self, changed := r.self()
	r.sessionOpened(s)
	first := &relaypb.FromListener{Self: hostToWire(self), CrashEvents: r.knownCrashEvents()}
	first.Subscribers, s.subscribersSent = r.subscriberIDs()
	if err = write(nc, r.stamped(s, first)); err != nil {
		return err
	}
	ended := make(chan struct{})
	defer close(ended)
	go r.sendToSource(nc, s, changed, ended)
	in := newReader(nc)
	for {
		m := &relaypb.FromWatcher{}
		if err = in.read(m); err != nil {
			return err
		}
		s.sendsProofs = s.sendsProofs || slices.ContainsFunc(m.GetKnown(), func(k *relaypb.Known) bool { return k.ProvenAgeMs != nil })
		s.sendsEras = s.sendsEras || slices.ContainsFunc(m.GetKnown(), func(k *relaypb.Known) bool { return k.Era != nil })
		r.handleHosts(s, m)
		r.handleEra(m.GetEra())
		r.handleCrashEvents(m.GetCrashEvents())
		if !r.comparable(s) {
			continue
		}
		if err = r.handleUpdates(s, m); err != nil {
			return err
		}
		r.handleVersions(s, m)
	}
}

func (r *Relay) sessionOpened(s *session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.open = true
	r.overlay.SessionOpened(s.host.ID)
	sessionsOpened.Inc()
	r.Log.Info("session opened", "host", s.host.ID, "address", s.host.PeerAddress)
}

// sendToSource sends heartbeats, fetches and changes of this host's own entry to
// a source.
func (r *Relay) sendToSource(nc net.Conn, s *session, changed, ended <-chan struct{}) {
	t := time.NewTicker(overlay.HeartbeatInterval.Duration())
	defer t.Stop()
	for {
		m := &relaypb.FromListener{}
		select {
		case <-ended:
			return
		case <-t.C:
			if ids, version := r.subscriberIDs(); version != s.subscribersSent {
				m.Subscribers, s.subscribersSent = ids, version
			}
		case f := <-s.out:
			m.Fetches = append(m.Fetches, f)
		case <-s.eventsAdded:
			m.CrashEvents = r.takeCrashEvents(s)
		case <-changed:
			var self overlay.Host
			self, changed = r.self()
			m.Self = hostToWire(self)
		}
		if write(nc, r.stamped(s, m)) != nil {
			return // the reader of the session reports the error
		}
	}
}

// subscriberIDs returns this host's subscribers, and a number that rises with each change.
func (r *Relay) subscriberIDs() (ids *relaypb.Subscribers, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids = &relaypb.Subscribers{}
	for _, h := range r.overlay.Subscribers() {
		ids.Ids = append(ids.Ids, h.ID)
	}
	return ids, r.subscribersVersion
}

// stamped returns m with the time at which it is sent, which the source returns, and with the
// last such time of the source and the store's era.
func (r *Relay) stamped(s *session, m *relaypb.FromListener) *relaypb.FromListener {
	sent := int64(r.Boot.Now())
	m.SentMs, m.EchoMs, m.Era = &sent, s.sourceSent.Load(), r.currentEra()
	return m
}

// recordContact records when a source has lived: when this host sent what the source has
// received since, or now if the source is of an older release and does not tell. r.mu must
// be held.
func (r *Relay) recordContact(s *session, m *relaypb.FromWatcher) {
	if m.SentMs != nil {
		s.sourceSent.Store(m.SentMs)
	}
	now := r.Boot.Now()
	switch {
	case m.EchoMs != nil && clock.Millis(m.GetEchoMs()) <= now:
		r.overlay.RecordSourceContact(s.host.ID, clock.Millis(m.GetEchoMs()))
	case s.sourceSent.Load() == nil:
		r.overlay.RecordSourceContact(s.host.ID, now)
	}
}

// handleHosts passes what a source reports about itself and other hosts on to the
// overlay.
func (r *Relay) handleHosts(s *session, m *relaypb.FromWatcher) {
	var hosts []overlay.Host
	var gone []string
	for _, h := range m.GetHosts() {
		if h.GetGone() {
			gone = append(gone, h.GetId())
			continue
		}
		hosts = append(hosts, hostFromWire(h))
		gone = slices.DeleteFunc(gone, func(id string) bool { return id == h.GetId() }) // it has come back since
	}
	lost := m.GetStoreLost() || !r.comparable(s)
	r.mu.Lock()
	r.overlay.HandleUpdate(r.Clock.Now(), s.host.ID, lost, int(m.GetHostCount()), hosts, gone)
	r.recordContact(s, m)
	allLost := r.overlay.StoreLost()
	r.mu.Unlock()
	if allLost {
		r.OnStoreLost()
	}
}

// comparable reports whether what a source sends can be compared with the tables. A
// source of an older release sends no eras; once the store has come back from an older
// copy, its versions may be of any era.
func (r *Relay) comparable(s *session) bool { return s.sendsEras || !r.restored.Load() }

// isWhole reports whether a source keeps all rows of a table.
func (r *Relay) isWhole(s *session, table string) bool { return s.sendsProofs || !r.ProvenOnly[table] }

// handleVersions fetches the changes that a source has and this host lacks.
// Sources in this host's availability zone are preferred. A table that lacks none is as
// old as the source's.
func (r *Relay) handleVersions(s *session, m *relaypb.FromWatcher) {
	now := r.Clock.Now()
	for _, k := range m.GetKnown() {
		t := r.Tables[k.GetTable()]
		if t == nil || !r.isWhole(s, k.GetTable()) {
			continue
		}
		at := revisionFromWire(t, k.Era, k.GetVersion())
		if !behind(t, at) {
			r.mu.Lock()
			r.overlay.ConfirmBySource(k.GetTable(), now, ageFromWire(k, m.GetStoreLost()))
			r.mu.Unlock()
			r.proveTable(t, k, m.EchoMs)
			continue
		}
		f := &fetch{table: k.GetTable(), replica: t, at: at, session: s}
		if r.inSameZone(s) || !r.hasSameZoneSource() || r.isLate() {
			r.fetch(f)
			continue
		}
		time.AfterFunc(sameZoneWait.Duration(), func() { r.fetch(f) })
	}
}

// proveTable records the proven age of a table that lacks no change of which a source has
// told. Sources of older releases prove nothing, and neither do those that know the table of
// another era: its revisions can't be compared with those held here.
func (r *Relay) proveTable(t watch.Replica, k *relaypb.Known, echo *int64) {
	own, _ := t.Revision()
	now := r.Boot.Now()
	if k.ProvenAgeMs == nil || k.Era == nil || echo == nil || own.Era != k.GetEra() || clock.Millis(*echo) > now {
		return
	}
	r.mu.Lock()
	first := r.overlay.ProvenAge(now, k.GetTable()) >= overlay.UnknownAge
	r.overlay.ProveBySource(k.GetTable(), clock.Millis(*echo), clock.Millis(k.GetProvenAgeMs()))
	first = first && r.overlay.ProvenAge(now, k.GetTable()) < overlay.UnknownAge
	r.mu.Unlock()
	if first {
		r.announceFirstProof(k.GetTable(), t)
	}
}

// announceFirstProof tells the subscribers at once that this host knows the proven age of a
// table. After a restart of the whole fleet they refuse all requests that need keys until
// they hear of it, and the next heartbeat may be 400 ms away.
func (r *Relay) announceFirstProof(name string, t watch.Replica) {
	provenAt, age := r.Boot.Now(), r.tableAge(name) // before the revision, as in lastChanges
	if changed, known := t.LastChange(); known {
		r.announceKnown(knownToWire(name, changed, age), provenAt)
	}
}

// behind reports whether a table is known only up to an older revision.
func behind(t watch.Replica, at revision.Revision) bool {
	known, ok := t.Revision()
	return !ok || known.Before(at)
}

// isLate reports whether the tables are too old to wait for a source of this zone.
func (r *Relay) isLate() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.overlay.IsLate(r.Clock.Now())
}

func (r *Relay) inSameZone(s *session) bool {
	return s.host.AvailabilityZone == r.Self.AvailabilityZone
}

func (r *Relay) hasSameZoneSource() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.sessions {
		if s.open && r.inSameZone(s) {
			return true
		}
	}
	return false
}

// handleUpdates merges the updates that a source sent in reply to fetches.
func (r *Relay) handleUpdates(s *session, m *relaypb.FromWatcher) (err error) {
	for _, w := range m.GetUpdates() {
		t := r.Tables[w.GetTable()]
		if t == nil {
			return errors.Errorf("source sent an update of unknown table %q", w.GetTable())
		}
		updatesReceived.Inc()
		n := proto.Size(w)
		countBytes("received", w.GetTable(), n)
		if !r.isWhole(s, w.GetTable()) {
			continue
		}
		if err := unpack(w); err != nil {
			// The next fetch asks for the rows as they are.
			s.sentInvalid.Store(true)
			updatesRefused.Inc()
			r.Log.Warn("update refused", "host", s.host.ID, "table", w.GetTable(), "version", w.GetVersion(), "era", w.GetEra(), "err", err)
			r.endFetch(s, w.GetTable())
			continue
		}
		r.merge(s, t, w, n) // an update that leaves a gap is fetched again when the next version is announced
		r.endFetch(s, w.GetTable())
	}
	return nil
}
