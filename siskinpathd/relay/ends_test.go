package relay

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
	"siskinpath/core/overlay"
	"siskinpath/core/quarantine"
)

// TestEnds uses more hosts than a fleet without relays has, so that ends pass several
// hosts.
func TestEnds(t *testing.T) {
	Convey("a fleet with relays", t, func() {
		const count = 48
		c := clock.NewSystem()
		var hosts []*host
		var known []overlay.Host
		for i := range count {
			h := start(fmt.Sprintf("h%d", i), freeAddress(), c)
			hosts = append(hosts, h)
			known = append(known, h.relay.Self)
		}
		Reset(func() {
			for _, h := range hosts {
				h.cancel()
			}
		})
		for _, h := range hosts {
			h.relay.AddHosts(known)
		}
		connected := func(h *host) bool {
			h.relay.mu.Lock()
			defer h.relay.mu.Unlock()
			return h.relay.overlay.Size() >= count && len(h.relay.sessions) > 0
		}
		for _, h := range hosts {
			shouldBecome(func() bool { return connected(h) })
		}
		f := quarantine.Of("caller", "GET", "h", "/crash", nil)
		shouldAllKnow := func(ends int) {
			for _, h := range hosts {
				shouldBecome(func() bool { return len(h.ends()) == ends })
			}
		}
		Convey("learns of the ends that three hosts have seen, and that they are disproved", func() {
			for i, h := range []*host{hosts[1], hosts[20], hosts[count-1]} {
				h.relay.AnnounceEnds(h.addEnds(quarantine.End{Request: f, Upstream: fmt.Sprint("u", i)}))
			}
			shouldAllKnow(3)
			h := hosts[7]
			h.mu.Lock()
			news := h.registry.Succeeded(f)
			h.mu.Unlock()
			h.relay.AnnounceEnds(news)
			for _, h := range hosts {
				shouldBecome(func() bool { return h.left(f) == 0 })
			}
		})
		Convey("tells a host that starts later", func() {
			hosts[0].relay.AnnounceEnds(hosts[0].addEnds(quarantine.End{Request: f, Upstream: "u"}))
			shouldAllKnow(1)
			late := start("late", freeAddress(), c)
			hosts = append(hosts, late)
			late.relay.AddHosts(known)
			shouldAllKnow(1)
		})
	})
	Convey("a malformed end is ignored", t, func() {
		wire := endsToWire([]quarantine.End{{Upstream: "u"}})
		wire[0].Request = wire[0].GetRequest()[:3]
		So(endsFromWire(wire), ShouldBeEmpty)
	})
}

func (h *host) addEnds(ends ...quarantine.End) []quarantine.End {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.registry.Add(h.relay.Clock.Now(), ends...)
}

func (h *host) ends() []quarantine.End {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.registry.Ends(h.relay.Clock.Now())
}

func (h *host) left(f quarantine.Fingerprint) clock.Millis {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.registry.Left(h.relay.Clock.Now(), f)
}
