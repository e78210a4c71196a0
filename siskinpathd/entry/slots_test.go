package entry

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
	"siskinpath/core/place"
	"siskinpath/core/route"
	"siskinpath/siskinpathd/forward"
	"siskinpath/siskinpathd/forward/forwardpb"
)

// slotNode is a host that exchanges messages about slots and sends nothing to upstreams.
type slotNode struct {
	*slotExchange
	d     *Dispatcher
	ready bool
	mu    sync.Mutex
}

func (n *slotNode) isReady() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ready
}

func (n *slotNode) setReady(ready bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ready = ready
}

// newSlotNode returns a host. addresses are those of other hosts, by id.
func newSlotNode(id string, addresses map[string]string) *slotNode {
	n := &slotNode{ready: true}
	n.slotExchange = &slotExchange{
		Clock: clock.NewSystem(), Self: id, Log: slog.New(slog.DiscardHandler), Client: &forward.Client{}, Address: func(host string) string { return addresses[host] },
		Ready: n.isReady, links: map[string]*slotLink{}, peers: map[string]*forward.SlotStream{},
	}
	log := slog.New(slog.DiscardHandler)
	tuning := place.DefaultTuning()
	tuning.NoProbe = true
	n.d = &Dispatcher{
		Service: "s", Clock: clock.NewSystem(), Slots: n.slotExchange, Decisions: &decisionLog{log: log, clock: clock.NewSystem()},
		placer: &place.Placer{Service: "s", Tuning: tuning, Rand: newRand()},
		timer:  time.AfterFunc(time.Hour, func() {}),
	}
	n.Dispatchers = func() map[string]*Dispatcher { return map[string]*Dispatcher{"s": n.d} }
	n.d.Configure(place.Config{Host: id, Allocators: []string{"a", "b"}, Upstreams: []place.Upstream{{ID: "u", Slots: 2}}})
	return n
}

// serveSlots starts the listener of an allocator.
func serveSlots(n *slotNode, address string, timeouts forward.Timeouts) (boundTo string, stop func()) {
	ln, err := net.Listen("tcp", address)
	So(err, ShouldBeNil)
	boundTo = ln.Addr().String()
	So(ln.Close(), ShouldBeNil)
	s := &forward.Server{ListenAddress: boundTo, Log: slog.New(slog.DiscardHandler), Timeouts: timeouts, Slots: n.serve}
	So(s.Bind(), ShouldBeNil)
	ctx, cancel := context.WithCancel(context.Background())
	go s.Run(ctx)
	return boundTo, cancel
}

// TestSlotExchange guards against hosts that keep asking an allocator which is gone, not
// ready or shutting down, and against slots that stay occupied for hosts that are gone.
func TestSlotExchange(t *testing.T) {
	Convey("a host with two candidates for the allocation", t, func() {
		addresses := map[string]string{}
		a, b := newSlotNode("a", nil), newSlotNode("b", nil)
		var stopA, stopB func()
		addresses["a"], stopA = serveSlots(a, "127.0.0.1:0", forward.Timeouts{})
		addresses["b"], stopB = serveSlots(b, "127.0.0.1:0", forward.Timeouts{})
		Reset(func() { stopA(); stopB() })
		h := newSlotNode("h", addresses)
		Reset(func() { h.follow(nil) })
		linkedTo := func(hosts ...string) func() bool {
			return func() bool {
				got := h.linked()
				return len(got) == len(hosts) && (len(hosts) == 0 || got[0] == hosts[0])
			}
		}
		Convey("is connected to the first only", func() {
			h.follow([][]string{{"a", "b"}})
			So(eventually(linkedTo("a")), ShouldBeTrue)
			Convey("and to the second when the first shuts down", func() {
				a.setReady(false)
				a.leave()
				So(eventually(linkedTo("b")), ShouldBeTrue)
				Convey("until the first is back", func() {
					a.setReady(true)
					So(eventually(linkedTo("a")), ShouldBeTrue)
				})
			})
		})
		Convey("is connected to the second when the first has no listener", func() {
			stopA()
			So(eventually(func() bool {
				c, err := net.Dial("tcp", addresses["a"])
				if err == nil {
					_ = c.Close()
				}
				return err != nil
			}), ShouldBeTrue)
			h.follow([][]string{{"a", "b"}})
			So(eventually(linkedTo("b")), ShouldBeTrue)
		})
		Convey("gets a slot, which is free again when the connection is lost", func() {
			used := func(n int) func() bool {
				return func() bool {
					a.d.mu.Lock()
					defer a.d.mu.Unlock()
					return a.d.placer.Report(a.Clock.Now()).Upstreams[0].InFlight == n
				}
			}
			received := make(chan *forwardpb.SlotMessage, 1)
			ctx, cancel := context.WithCancel(context.Background())
			Reset(cancel)
			go func() {
				_ = h.Client.OpenSlots(ctx, addresses["a"], "h", func(s *forward.SlotStream) {
					s.Send(encodeSlotMessage("s", place.SlotMessage{Kind: place.SlotAsk, ID: 7, Route: "r", Target: 30_000, TimeLeft: 60_000}))
				}, func(m *forwardpb.SlotMessage) { received <- m })
			}()
			m := decodeSlotMessage(<-received)
			So(m.Kind, ShouldEqual, place.SlotGrant)
			So(m.Upstream, ShouldEqual, "u")
			So(used(1)(), ShouldBeTrue)
			cancel()
			So(eventually(used(0)), ShouldBeTrue)
		})
		Convey("is connected to the second when it knows no address of the first", func() {
			delete(addresses, "a")
			h.follow([][]string{{"a", "b"}})
			So(eventually(linkedTo("b")), ShouldBeTrue)
		})
		Convey("is connected to none when it is the first itself", func() {
			a.follow([][]string{{"a", "b"}})
			So(a.linked(), ShouldBeEmpty)
		})
	})
}

func TestSlotMessage(t *testing.T) {
	Convey("a message is the same after encoding and decoding", t, func() {
		for _, m := range []place.SlotMessage{
			{Kind: place.SlotAsk, ID: 1 << 63, Route: "r", Priority: 2, Waited: 5, Target: 300, TimeLeft: 900, CallerLeft: 2400, AboveFairUse: true, Zone: "a", Except: []string{"u"}},
			{Kind: place.SlotWithdraw, ID: 3},
			{Kind: place.SlotEnd, ID: 4, Status: route.Refused, Load: &route.LoadReport{InFlight: 1, Queued: 2, Slots: 3, Slowdown: 1.5, Draining: true}},
			{Kind: place.SlotGrant, ID: 5, Upstream: "u", Load: &route.LoadReport{Slots: 3, Slowdown: 1}},
			{Kind: place.SlotQueued, ID: 6},
			{Kind: place.SlotDeny, ID: 7, Reason: route.ReasonOverloaded, RetryAfter: 90, Detail: place.RefusalDetail{Probed: 1, Upstreams: 2, Usable: 3, Cold: 4, WithRoom: 5, Queued: 6}},
		} {
			So(decodeSlotMessage(encodeSlotMessage("s", m)), ShouldResemble, m)
		}
	})
}

// TestExperiment guards against an experiment that is left in the settings by mistake.
func TestExperiment(t *testing.T) {
	Convey("mechanisms can be switched off for a purpose only, and only those that exist", t, func() {
		tuning, err := Experiment{Purpose: "ablation", Disable: []string{"hedges", "allocator"}}.tuning()
		So(err, ShouldBeNil)
		So(tuning.NoHedge && tuning.NoAllocator, ShouldBeTrue)
		_, err = Experiment{Disable: []string{"hedges"}}.tuning()
		So(err.Error(), ShouldContainSubstring, "purpose is missing")
		_, err = Experiment{Purpose: "ablation", Disable: []string{"hedge"}}.tuning()
		So(err.Error(), ShouldContainSubstring, `mechanism "hedge" does not exist`)
	})
}
