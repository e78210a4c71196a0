package entry

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"siskinpath/core/clock"
	"siskinpath/core/fleetlimit"
	"siskinpath/core/place"
	"siskinpath/core/route"
	"siskinpath/siskinpathd/forward"
	"siskinpath/siskinpathd/forward/forwardpb"
	"siskinpath/siskinpathd/logs"
)

const (
	// allocatorsPerService is how many hosts are candidates for the allocation of a service's
	// slots: each takes over while those before it can't be reached or are not ready.
	allocatorsPerService = 5
	// allocatorProbeShare is the share of the probes that an allocator may send. All hosts
	// share the rest.
	allocatorProbeShare = 0.5
	// minRedialDelay and maxRedialDelay bound the pause before an allocator is dialled again.
	minRedialDelay = 100 * clock.Millisecond
	maxRedialDelay = clock.Second
)

// Messages of the log lines about connections to allocators.
const (
	msgAllocatorConnected = "allocator connected"
	msgNoAllocator        = "allocator not connected"
)

var (
	slotAsks   = metrics.NewCounter("slot_asks_total")   // slots asked for by this host
	slotGrants = metrics.NewCounter("slot_grants_total") // slots granted to other hosts
	slotDenies = metrics.NewCounter("slot_denies_total") // requests of other hosts that got none
)

// slotExchange passes the messages of placers about slots to and from other hosts.
type slotExchange struct {
	Clock clock.Clock
	Self  string
	Log   *slog.Logger
	Limit *logs.Limiter // of the lines of Log; nil for none
	// Client opens streams to allocators.
	Client *forward.Client
	// Address returns the address of another host, "" if it is not known.
	Address func(host string) string
	// Dispatchers returns the dispatchers by service. It is called without a lock held.
	Dispatchers func() map[string]*Dispatcher
	// Ready reports whether this host may allocate slots.
	Ready func() bool

	mu     sync.Mutex
	chains [][]string                     // allocators of the services, in the order in which they are asked
	links  map[string]*slotLink           // to allocators, by host
	peers  map[string]*forward.SlotStream // of hosts that ask this one
}

// slotLink is the connection to an allocator, which is opened again when it is lost.
type slotLink struct {
	cancel context.CancelFunc
	stream *forward.SlotStream // nil while it is not open
	failed bool                // it could not be opened, or was lost
}

// follow sets the allocators of the services, each list in the order in which they are
// asked.
func (x *slotExchange) follow(chains [][]string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.chains = chains
	x.updateLinks()
}

// wanted returns the hosts to which connections are needed: for each service the first
// allocator that can be reached, and those before it.
func (x *slotExchange) wanted() (hosts []string) {
	for _, chain := range x.chains {
		for _, host := range chain {
			if host == x.Self {
				break
			}
			hosts = append(hosts, host)
			if l := x.links[host]; l == nil || !l.failed {
				break
			}
		}
	}
	return hosts
}

// updateLinks opens the connections that are needed and closes the others. x.mu must be
// held.
func (x *slotExchange) updateLinks() {
	hosts := x.wanted()
	for _, host := range hosts {
		if x.links[host] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(context.Background())
		l := &slotLink{cancel: cancel}
		x.links[host] = l
		go x.keepOpen(ctx, host, l)
	}
	for host, l := range x.links {
		if !slices.Contains(hosts, host) {
			l.cancel()
			delete(x.links, host)
		}
	}
}

// keepOpen keeps the connection to an allocator open until ctx ends.
func (x *slotExchange) keepOpen(ctx context.Context, host string, l *slotLink) {
	delay := minRedialDelay
	for ctx.Err() == nil {
		opened := func(s *forward.SlotStream) {
			delay = minRedialDelay
			x.setLink(l, s)
			x.log(msgAllocatorConnected, "host", host)
			for _, d := range x.Dispatchers() {
				d.allocatorLinked(host)
			}
		}
		err := x.open(ctx, host, opened)
		x.setLink(l, nil)
		if ctx.Err() == nil {
			x.log(msgNoAllocator, "host", host, "err", err)
		}
		for _, d := range x.Dispatchers() {
			d.allocatorLost(host)
		}
		sleep(ctx, delay)
		delay = min(2*delay, maxRedialDelay)
	}
}

// open opens a connection to an allocator and returns when it has ended.
func (x *slotExchange) open(ctx context.Context, host string, opened func(*forward.SlotStream)) error {
	address := x.Address(host)
	if address == "" {
		return errHostUnknown
	}
	return x.Client.OpenSlots(ctx, address, x.Self, opened, func(m *forwardpb.SlotMessage) { x.receive(host, m) })
}

func (x *slotExchange) log(message string, attributes ...any) {
	if x.Limit == nil || x.Limit.Allow(message) {
		x.Log.Info(message, attributes...)
	}
}

// setLink records that a connection has been opened, or with nil that it is lost.
func (x *slotExchange) setLink(l *slotLink, s *forward.SlotStream) {
	x.mu.Lock()
	defer x.mu.Unlock()
	l.stream, l.failed = s, s == nil
	x.updateLinks()
}

// linked returns the hosts to which a connection is open.
func (x *slotExchange) linked() (hosts []string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for host, l := range x.links {
		if l.stream != nil {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

func (x *slotExchange) askerLost(host string) {
	for _, d := range x.Dispatchers() {
		d.askerLost(host)
	}
}

// serve begins the exchange with a host that asks this one for slots.
func (x *slotExchange) serve(host string, s *forward.SlotStream) (receive func(*forwardpb.SlotMessage), ended func()) {
	if !x.Ready() {
		return nil, nil
	}
	x.mu.Lock()
	old := x.peers[host]
	x.peers[host] = s
	x.mu.Unlock()
	if old != nil { // of an earlier start of the host
		old.Close()
		x.askerLost(host)
	}
	return func(m *forwardpb.SlotMessage) { x.receive(host, m) }, func() {
		x.mu.Lock()
		current := x.peers[host] == s
		if current {
			delete(x.peers, host)
		}
		x.mu.Unlock()
		if current {
			x.askerLost(host)
		}
	}
}

// leave ends the exchange with all hosts that ask this one, so that they ask another one. It
// does not wait for hosts that take no bytes.
func (x *slotExchange) leave() {
	x.mu.Lock()
	peers := maps.Clone(x.peers)
	x.mu.Unlock()
	for _, s := range peers {
		go s.Close()
	}
}

// send passes a placer's message on. It does not wait.
func (x *slotExchange) send(service, host string, m place.SlotMessage) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.peers[host]
	switch m.Kind {
	case place.SlotAsk:
		slotAsks.Inc()
		s = x.streamTo(host)
	case place.SlotWithdraw, place.SlotEnd:
		s = x.streamTo(host)
	case place.SlotGrant:
		slotGrants.Inc()
	case place.SlotDeny:
		slotDenies.Inc()
	}
	if s != nil { // else the host is lost, which the placer is told
		s.Send(encodeSlotMessage(service, m))
	}
}

// streamTo returns the stream to an allocator, nil if it is not open. x.mu must be held.
func (x *slotExchange) streamTo(host string) *forward.SlotStream {
	if l := x.links[host]; l != nil {
		return l.stream
	}
	return nil
}

func (x *slotExchange) receive(host string, m *forwardpb.SlotMessage) {
	if d := x.Dispatchers()[m.GetService()]; d != nil {
		d.handleSlotMessage(host, decodeSlotMessage(m))
	}
}

func encodeSlotMessage(service string, m place.SlotMessage) *forwardpb.SlotMessage {
	w := &forwardpb.SlotMessage{
		Kind: forwardpb.SlotMessageKind(m.Kind), Id: m.ID, Service: service, Route: m.Route, Priority: int32(m.Priority),
		WaitedMs: uint32(max(0, m.Waited)), TargetMs: uint32(m.Target), TimeLeftMs: uint32(max(0, m.TimeLeft)), AboveFairUse: m.AboveFairUse, AvailabilityZone: m.Zone, CallerLeftMs: uint32(max(0, m.CallerLeft)),
		Except: m.Except, Upstream: m.Upstream, Status: int32(m.Status), Reason: string(m.Reason), RetryAfterMs: uint32(max(0, m.RetryAfter)), Leaving: m.Leaving,
	}
	if l := m.Load; l != nil {
		w.Load = &forwardpb.SlotLoad{
			InFlight: uint32(max(0, l.InFlight)), Queued: uint32(max(0, l.Queued)), Slots: uint32(max(0, l.Slots)), Slowdown: float32(l.Slowdown), Draining: l.Draining,
		}
	}
	if m.Kind == place.SlotDeny {
		d := m.Detail
		w.Denial = &forwardpb.SlotDenial{
			Probed: uint32(d.Probed), Upstreams: uint32(d.Upstreams), Usable: uint32(d.Usable), Cold: uint32(d.Cold),
			WithRoom: uint32(d.WithRoom), Queued: uint32(d.Queued),
		}
	}
	return w
}

func decodeSlotMessage(w *forwardpb.SlotMessage) place.SlotMessage {
	m := place.SlotMessage{
		Kind: place.SlotMessageKind(w.GetKind()), ID: w.GetId(), Route: w.GetRoute(), Priority: int(w.GetPriority()),
		Waited: clock.Millis(w.GetWaitedMs()), Target: clock.Millis(w.GetTargetMs()), TimeLeft: clock.Millis(w.GetTimeLeftMs()),
		AboveFairUse: w.GetAboveFairUse(), Zone: w.GetAvailabilityZone(), CallerLeft: clock.Millis(w.GetCallerLeftMs()), Except: w.GetExcept(), Upstream: w.GetUpstream(), Status: route.Status(w.GetStatus()),
		Reason: route.Reason(w.GetReason()), RetryAfter: clock.Millis(w.GetRetryAfterMs()), Leaving: w.GetLeaving(),
	}
	if l := w.GetLoad(); l != nil {
		m.Load = &route.LoadReport{
			InFlight: int(l.GetInFlight()), Queued: int(l.GetQueued()), Slots: int(l.GetSlots()), Slowdown: float64(l.GetSlowdown()), Draining: l.GetDraining(),
		}
	}
	if d := w.GetDenial(); d != nil {
		m.Detail = place.RefusalDetail{
			Probed: int(d.GetProbed()), Upstreams: int(d.GetUpstreams()), Usable: int(d.GetUsable()), Cold: int(d.GetCold()),
			WithRoom: int(d.GetWithRoom()), Queued: int(d.GetQueued()),
		}
	}
	return m
}

// initSlots prepares the exchange of messages about slots.
func (n *Node) initSlots() {
	n.slots = &slotExchange{
		Clock: n.Clock, Self: n.cfg().ID, Log: n.Log, Limit: n.LogLimiter, Client: &n.forwarder.client, Dispatchers: n.allDispatchers,
		Address: func(host string) string { return n.relay.ForwardAddresses()[host] },
		Ready:   func() bool { return n.Ready() == nil },
		links:   map[string]*slotLink{}, peers: map[string]*forward.SlotStream{},
	}
	if n.forwardServer != nil {
		n.forwardServer.Slots = n.slots.serve
	}
}

// allDispatchers returns the dispatchers by service.
func (n *Node) allDispatchers() map[string]*Dispatcher {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.dispatchers)
}

// setAllocators sets the hosts that allocate the slots of a service, if any, and the
// upstreams of their group.
func (n *Node) setAllocators(service string, cfg *place.Config) {
	members, _ := n.holding(0)
	if n.cfg().Listen.Forward == "" || len(members) < 2 || !place.MayAllocate(cfg.Upstreams) {
		return
	}
	cfg.Host = n.cfg().ID
	group := place.GroupOf(service, cfg.Host, cfg.Upstreams, members)
	cfg.Upstreams = group.Upstreams
	for _, m := range fleetlimit.Spread(service, group.Hosts, allocatorsPerService) {
		cfg.Allocators = append(cfg.Allocators, m.ID)
	}
}

// allocatorLinked tells the placer of a new connection to an allocator.
func (d *Dispatcher) allocatorLinked(host string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.placer.AllocatorLinked(host)
}

// allocatorLost tells the placer that the connection to an allocator is lost.
func (d *Dispatcher) allocatorLost(host string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.execute(d.placer.AllocatorLost(d.Clock.Now(), host))
}

// askerLost tells the placer that a host which asks this one is lost.
func (d *Dispatcher) askerLost(host string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.execute(d.placer.AskerLost(d.Clock.Now(), host))
}

func (d *Dispatcher) handleSlotMessage(host string, m place.SlotMessage) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.execute(d.placer.HandleSlotMessage(d.Clock.Now(), host, m))
}
