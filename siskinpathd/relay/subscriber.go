package relay

import (
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	"siskinpath/core/clock"
	"siskinpath/core/overlay"
	"siskinpath/core/revision"
	"siskinpath/siskinpathd/relay/relaypb"
	"siskinpath/siskinpathd/watch"
)

// outboxSize is the number of messages that may wait to be sent to a subscriber. A
// subscriber that falls further behind is disconnected.
const outboxSize = 64

// subscriber is a host that receives changes from this one.
type subscriber struct {
	nc   net.Conn
	out  chan []byte
	host overlay.Host
	// echo is the last time of the subscriber's own clock that it has sent, nil for none,
	// and echoAt when it arrived, by this host's boot clock. Guarded by Relay.mu.
	echo   *int64
	echoAt clock.Millis
}

// tableAge is the age of a table and its proven age; see package overlay.
type tableAge struct{ age, proven clock.Millis }

// announcement is a message for subscribers that each also gets its echo.
type announcement struct {
	*relaypb.FromWatcher
	// provenAt is a time before the proven ages were computed, by the boot clock. A source
	// may only return an echo that it had received by then.
	provenAt clock.Millis
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

// serve handles a subscriber's session until the subscriber closes it or stops
// sending heartbeats.
func (r *Relay) serve(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	in := newReader(nc)
	first := &relaypb.FromListener{}
	if err := in.read(first); err != nil || first.GetSelf() == nil {
		r.Log.Warn("session refused", "peer", nc.RemoteAddr().String(), "err", err)
		return
	}
	s := &subscriber{nc: nc, out: make(chan []byte, outboxSize), host: hostFromWire(first.GetSelf())}
	r.recordSent(s, first)
	r.handleEra(first.GetEra())
	r.addSubscriber(s)
	go s.sendQueued()
	r.handleSubscribers(s, first)
	r.handleCrashEvents(first.GetCrashEvents())
	for {
		m := &relaypb.FromListener{}
		err := in.read(m)
		if err != nil {
			r.Log.Info("listener left", "host", s.host.ID, "err", err)
			break
		}
		r.handleMessage(s, m)
	}
	r.removeSubscriber(s)
}

// handleMessage handles a message of a subscriber: a change of its entry, and
// fetches of changes that it lacks.
func (r *Relay) handleMessage(s *subscriber, m *relaypb.FromListener) {
	r.recordSent(s, m)
	r.handleEra(m.GetEra())
	if m.GetSelf() != nil {
		r.mu.Lock()
		s.host = hostFromWire(m.GetSelf())
		r.overlay.AddSubscriber(s.host)
		r.announceHost(m.GetSelf())
		r.mu.Unlock()
	}
	r.handleSubscribers(s, m)
	r.handleCrashEvents(m.GetCrashEvents())
	for _, f := range m.GetFetches() {
		t := r.Tables[f.GetTable()]
		if t == nil {
			continue
		}
		if u, ok := t.ChangesSince(revisionFromWire(t, f.Era, f.GetAfter())); ok {
			updatesSent.Inc()
			m := r.lastChanges()
			m.Updates = []*relaypb.Update{r.updateFor(f, u)}
			countBytes("sent", f.GetTable(), proto.Size(m.Updates[0]))
			r.mu.Lock()
			s.enqueueWithEcho(marshal(m.FromWatcher), m.provenAt)
			r.mu.Unlock()
		}
	}
}

// handleSubscribers records the subscribers that a subscriber has.
func (r *Relay) handleSubscribers(s *subscriber, m *relaypb.FromListener) {
	if m.GetSubscribers() == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.overlay.RecordSubscribersOf(s.host.ID, m.GetSubscribers().GetIds())
}

// updateFor returns the message that replies to a fetch.
func (r *Relay) updateFor(f *relaypb.Fetch, u watch.Update) *relaypb.Update {
	if f.GetReadsPacked() {
		return r.packer.pack(u)
	}
	return updateToWire(u)
}

// recordSent records the time at which a subscriber has sent a message, and when it has lived:
// when this host sent what the subscriber has received since, or now for the first message
// and for a subscriber of an older release, which does not tell.
func (r *Relay) recordSent(s *subscriber, m *relaypb.FromListener) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Boot.Now()
	switch {
	case m.EchoMs != nil && clock.Millis(m.GetEchoMs()) <= now:
		r.overlay.RecordSubscriberContact(s.host.ID, clock.Millis(m.GetEchoMs()))
	case s.echo == nil:
		r.overlay.RecordSubscriberContact(s.host.ID, now)
	}
	if m.SentMs != nil {
		s.echo, s.echoAt = m.SentMs, now
	}
}

// dropLost ends the sessions of subscribers that have shown no life lately, so that this
// host does not report them. r.mu must be held.
func (r *Relay) dropLost() {
	now := r.Boot.Now()
	for s := range r.subscribers {
		if r.overlay.HasSubscriberContact(now, s.host.ID) {
			continue
		}
		r.Log.Info("no contact with listener", "host", s.host.ID)
		_ = s.nc.Close() // serve then fails to read and removes the subscriber
	}
}

// addSubscriber adds a subscriber, and sends it the last changes of the tables and the
// hosts of its availability zone.
func (r *Relay) addSubscriber(s *subscriber) {
	m := r.lastChanges()
	r.mu.Lock()
	defer r.mu.Unlock()
	// Under the lock, so that no event is announced between this and the subscription.
	m.CrashEvents = r.knownCrashEvents()
	r.overlay.AddSubscriber(s.host)
	m.Hosts = []*relaypb.Host{hostToWire(r.overlay.Self)}
	for _, h := range r.overlay.Subscribers() {
		if h.AvailabilityZone == s.host.AvailabilityZone {
			m.Hosts = append(m.Hosts, hostToWire(h))
		}
	}
	m.HostCount = uint32(r.overlay.Size())
	s.enqueueWithEcho(marshal(m.FromWatcher), m.provenAt)
	r.subscribers[s] = true
	r.subscribersVersion++
	r.announceHost(hostToWire(s.host))
}

// removeSubscriber removes a subscriber's session. The host itself remains
// subscribed if it has opened a newer session.
func (r *Relay) removeSubscriber(s *subscriber) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.subscribers, s)
	close(s.out)
	for other := range r.subscribers {
		if other.host.ID == s.host.ID {
			return
		}
	}
	r.overlay.RemoveSubscriber(s.host.ID)
	r.subscribersVersion++
	r.announceHost(&relaypb.Host{Id: s.host.ID, AvailabilityZone: s.host.AvailabilityZone, Gone: true})
}

// lastChanges returns a message with the revision of each table's last change.
func (r *Relay) lastChanges() announcement {
	m := announcement{FromWatcher: &relaypb.FromWatcher{StoreLost: r.storeLost(), Era: r.currentEra()}, provenAt: r.Boot.Now()}
	sent := int64(m.provenAt)
	m.SentMs = &sent
	for name, t := range r.Tables {
		// The age is read first: a change in between only makes it too high.
		age := r.tableAge(name)
		if at, known := t.LastChange(); known {
			m.Known = append(m.Known, knownToWire(name, at, age))
		}
	}
	return m
}

func (r *Relay) tableAge(name string) tableAge {
	r.mu.Lock()
	defer r.mu.Unlock()
	return tableAge{r.overlay.TableAge(r.Clock.Now(), name), r.overlay.ProvenAge(r.Boot.Now(), name)}
}

// ProvenAge returns an upper bound of the age of this host's copy of a table,
// overlay.UnknownAge for none. It holds whatever the links between hosts do and also after
// this host was suspended.
func (r *Relay) ProvenAge(table string) clock.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.overlay.ProvenAge(r.Boot.Now(), table)
}

// TableAge returns the age of this host's copy of a table, overlay.UnknownAge for none. It
// takes the arrival of a message for the time at which it was sent.
func (r *Relay) TableAge(table string) clock.Millis { return r.tableAge(table).age }

// ConfirmTable records that the store has told this host every change of a table up to a
// time, and announces it to all subscribers. started is when the call to the store began,
// by the boot clock.
func (r *Relay) ConfirmTable(name string, at, started clock.Millis) {
	r.mu.Lock()
	r.overlay.ConfirmByStore(name, at)
	r.overlay.ProveByStore(name, started)
	listening := len(r.subscribers) > 0
	r.mu.Unlock()
	if !listening {
		return
	}
	provenAt, age := r.Boot.Now(), r.tableAge(name) // before the revision, as in lastChanges
	if changed, known := r.Tables[name].LastChange(); known {
		r.announceKnown(knownToWire(name, changed, age), provenAt)
	}
}

// sendHeartbeat sends a heartbeat with the last changes of the tables to all
// subscribers.
func (r *Relay) sendHeartbeat() {
	m := r.lastChanges()
	r.mu.Lock()
	defer r.mu.Unlock()
	oldestTableAge.Set(r.overlay.Age(r.Clock.Now()).Duration().Seconds())
	m.HostCount = uint32(r.overlay.Size())
	r.dropLost()
	b := marshal(m.FromWatcher)
	for s := range r.subscribers {
		s.enqueueWithEcho(b, m.provenAt)
	}
}

// AnnounceChange tells all subscribers that a table has changed. It is called with the
// table locked.
func (r *Relay) AnnounceChange(table string, at revision.Revision) {
	provenAt := r.Boot.Now()
	r.announceKnown(knownToWire(table, at, r.tableAge(table)), provenAt)
}

// announceKnown tells all subscribers how far this host knows a table.
func (r *Relay) announceKnown(k *relaypb.Known, provenAt clock.Millis) {
	b := marshal(&relaypb.FromWatcher{Known: []*relaypb.Known{k}, StoreLost: r.storeLost()})
	r.mu.Lock()
	defer r.mu.Unlock()
	for s := range r.subscribers {
		s.enqueueWithEcho(b, provenAt)
	}
}

// announce sends a message without proven ages to all subscribers.
func (r *Relay) announce(m *relaypb.FromWatcher) {
	b := encode(m)
	r.mu.Lock()
	defer r.mu.Unlock()
	for s := range r.subscribers {
		s.enqueue(b)
	}
}

// announceHost schedules a change of a host to be sent to subscribers, together with
// other changes within hostChangeDelay. r.mu must be held.
func (r *Relay) announceHost(h *relaypb.Host) {
	r.hostChanges = append(r.hostChanges, h)
	if len(r.hostChanges) == 1 {
		time.AfterFunc(hostChangeDelay.Duration(), r.sendHostChanges)
	}
}

// sendHostChanges sends each subscriber the collected changes of this host and of the
// hosts in the subscriber's availability zone.
func (r *Relay) sendHostChanges() {
	lost := r.storeLost()
	r.mu.Lock()
	defer r.mu.Unlock()
	byZone := map[string][]byte{}
	for s := range r.subscribers {
		zone := s.host.AvailabilityZone
		b, ok := byZone[zone]
		if !ok {
			b = r.encodeHostChanges(zone, lost)
			byZone[zone] = b
		}
		if b != nil {
			s.enqueue(b)
		}
	}
	r.hostChanges = nil
}

// encodeHostChanges returns the message for subscribers in an availability zone, nil
// if no change concerns them.
func (r *Relay) encodeHostChanges(zone string, lost bool) []byte {
	m := &relaypb.FromWatcher{StoreLost: lost, HostCount: uint32(r.overlay.Size())}
	for _, h := range r.hostChanges {
		if h.GetAvailabilityZone() == zone || h.GetId() == r.Self.ID {
			m.Hosts = append(m.Hosts, h)
		}
	}
	if len(m.Hosts) == 0 {
		return nil
	}
	return encode(m)
}

// enqueueWithEcho queues a message together with the subscriber's echo. An echo that arrived
// after the proven ages of the message were computed would make them look younger, and is
// left out. Relay.mu must be held.
func (s *subscriber) enqueueWithEcho(body []byte, provenAt clock.Millis) {
	if s.echo == nil || s.echoAt > provenAt {
		s.enqueue(frame(body, nil))
		return
	}
	s.enqueue(frame(body, encodeEcho(*s.echo)))
}

// enqueue queues an encoded message. A subscriber whose queue is full is
// disconnected.
func (s *subscriber) enqueue(b []byte) {
	select {
	case s.out <- b:
	default:
		_ = s.nc.Close()
	}
}

func (s *subscriber) sendQueued() {
	for b := range s.out {
		if writeBytes(s.nc, b) != nil {
			_ = s.nc.Close() // serve then fails to read and removes the subscriber
		}
	}
}
