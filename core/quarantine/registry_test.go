package quarantine

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
)

const (
	now = clock.Hour
	ran = 50 * clock.Millisecond
	// apart is the time between two ends of eventsOf.
	apart = 100 * clock.Millisecond
)

var deadly = Of("10.0.0.1", "GET", "shop", "/a", "q=1", nil)

// eventsOf returns ends of upstreams, one after another, the last one now: the n-th under
// the request that content(n) returns.
func eventsOf(count int, content func(n int) Content) (events []Event) {
	for n := range count {
		events = append(events, Event{Content: content(n), Upstream: fmt.Sprint("u", n), Age: clock.Millis(count-1-n) * apart, Ran: ran})
	}
	return events
}

func same(int) Content { return deadly }

func fromOtherCallers(n int) Content { return Of(fmt.Sprint("c", n), "GET", "shop", "/a", "q=1", nil) }

func withOtherQueries(n int) Content {
	return Of("10.0.0.1", "GET", "shop", "/a", fmt.Sprint("q=", n+1), nil)
}

func withBoth(n int) Content {
	return Of(fmt.Sprint("c", n), "GET", "shop", "/a", fmt.Sprint("q=", n+1), nil)
}

func TestContent(t *testing.T) {
	Convey("contents that differ in one field are different", t, func() {
		seen := map[Content]bool{}
		for _, c := range []Content{
			Of("c", "GET", "h", "/p", "", nil), Of("d", "GET", "h", "/p", "", nil), Of("c", "PUT", "h", "/p", "", nil),
			Of("c", "GET", "i", "/p", "", nil), Of("c", "GET", "h", "/q", "", nil), Of("c", "GET", "h", "/p", "", []byte("b")),
			Of("c", "GET", "h/", "p", "", nil), Of("c", "GET", "h", "/p", "a", nil),
		} {
			So(seen[c], ShouldBeFalse)
			seen[c] = true
		}
		So(Of("c", "GET", "h", "/p", "q", []byte("b")), ShouldEqual, Of("c", "GET", "h", "/p", "q", []byte("b")))
	})
}

func TestRegistry(t *testing.T) {
	shouldBeIn := func(g *Registry, at clock.Millis, c Content, s Scope) {
		So(g.Verdict(at, c).Scope, ShouldEqual, s)
		So(g.Verdict(at, c).Left > 0, ShouldEqual, s != "")
	}
	Convey("a registry", t, func() {
		g := &Registry{}
		Convey("quarantines a request at the third end", func() {
			events := eventsOf(3, same)
			g.Add(now, events[:2]...)
			g.Add(now, events[:2]...)
			shouldBeIn(g, now, deadly, "")
			So(g.Add(now, events...), ShouldHaveLength, 1)
			shouldBeIn(g, now, deadly, OneRequest)
			So(g.Verdict(now, deadly).Left, ShouldEqual, quarantineTime)
			So(g.Verdict(now, deadly).Upstreams, ShouldResemble, []string{"u0", "u1", "u2"})
			shouldBeIn(g, now, fromOtherCallers(1), "")
			shouldBeIn(g, now, withOtherQueries(1), "")
		})
		for _, kind := range []struct {
			scope   Scope
			content func(int) Content
			beside  Content // that is not in quarantine
		}{
			{AnyCaller, fromOtherCallers, withBoth(9)},
			{AnyQuery, withOtherQueries, withBoth(9)},
			{AnyRequest, withBoth, Of("c", "GET", "shop", "/b", "", nil)},
		} {
			Convey("quarantines what callers send in turn, by scope "+string(kind.scope), func() {
				g.Add(now, eventsOf(3, kind.content)...)
				shouldBeIn(g, now, kind.content(0), kind.scope)
				shouldBeIn(g, now, kind.content(7), kind.scope)
				shouldBeIn(g, now, kind.beside, "")
				Convey("until one of them succeeds", func() {
					So(g.Succeeded(now+1, kind.content(8)), ShouldHaveLength, 1)
					shouldBeIn(g, now+1, kind.content(0), "")
				})
			})
		}
		Convey("counts ends that overlap once, as when many upstreams end at the same time", func() {
			for _, content := range []func(int) Content{same, fromOtherCallers, withOtherQueries, withBoth} {
				events := eventsOf(8, content)
				for i := range events {
					events[i].Age, events[i].Upstream = clock.Millis(i), events[i].Upstream+"x"
				}
				g.Add(now, events...)
				shouldBeIn(g, now, content(0), "")
			}
		})
		Convey("counts a start of an upstream once", func() {
			for i := range 5 {
				g.Suspect(now+clock.Millis(i)*apart, deadly, "u0", ran)
				g.Add(now+clock.Millis(i)*apart, eventsOf(1, same)...)
			}
			shouldBeIn(g, now+5*apart, deadly, "")
		})
		Convey("counts a suspicion until it is retracted", func() {
			g.Add(now-apart, eventsOf(2, same)...)
			g.Suspect(now, deadly, "x", ran)
			shouldBeIn(g, now, deadly, OneRequest)
			g.Retract(deadly, "x")
			shouldBeIn(g, now, deadly, "")
			So(g.Events(now), ShouldHaveLength, 2)
		})
		Convey("tells no other host of a suspicion", func() {
			g.Suspect(now, deadly, "x", ran)
			So(g.Events(now), ShouldBeEmpty)
			g.Retract(deadly, "x")
			So(g.Len(), ShouldEqual, 0)
		})
		Convey("does not retract what is confirmed", func() {
			g.Add(now, eventsOf(3, same)...)
			g.Retract(deadly, "u0")
			shouldBeIn(g, now, deadly, OneRequest)
		})
		Convey("counts ends since the last success", func() {
			g.Add(now, eventsOf(3, same)...)
			So(g.Succeeded(now+1, deadly), ShouldHaveLength, 1)
			So(g.Succeeded(now+2, deadly), ShouldBeEmpty)
			So(g.Add(now+2, eventsOf(3, same)...), ShouldBeEmpty)
			shouldBeIn(g, now+2, deadly, "")
			for i := range 3 {
				shouldBeIn(g, now+clock.Millis(1+i)*apart, deadly, "")
				g.Add(now+clock.Millis(1+i)*apart, Event{Content: deadly, Upstream: fmt.Sprint("n", i), Ran: ran})
			}
			shouldBeIn(g, now+4*apart, deadly, OneRequest)
		})
		Convey("takes a success of another caller as none of this one's", func() {
			g.Add(now, eventsOf(3, same)...)
			g.Succeeded(now+1, fromOtherCallers(1))
			shouldBeIn(g, now+1, deadly, OneRequest)
		})
		Convey("ends a quarantine after its time, and needs one more end for the next", func() {
			g.Add(now, eventsOf(3, same)...)
			later := now + quarantineTime
			So(g.Verdict(later-1, deadly).Left, ShouldEqual, 1)
			shouldBeIn(g, later, deadly, "")
			for i := range 2 * maxEnds {
				g.Add(later, Event{Content: deadly, Upstream: fmt.Sprint("later", i), Ran: ran})
				So(g.Verdict(later, deadly).Left, ShouldEqual, quarantineTime)
				later += quarantineTime
			}
			So(len(g.Events(later)), ShouldBeLessThanOrEqualTo, maxEnds)
		})
		Convey("remembers a limited number of works, and those in quarantine longest", func() {
			g.Add(now, eventsOf(3, same)...)
			for i := range 2 * maxWorks {
				g.Add(now+clock.Millis(i), Event{Content: Of("", "", "", fmt.Sprint(i), "", nil), Upstream: "u"})
			}
			So(g.Len(), ShouldEqual, maxWorks)
			shouldBeIn(g, now, deadly, OneRequest)
			So(g.Report(now), ShouldHaveLength, 1)
		})
	})
	Convey("hosts that exchange what they know agree, and have nothing more to tell", t, func() {
		a, b := &Registry{}, &Registry{}
		events := eventsOf(3, same)
		a.Add(now, events...)
		b.Add(now, events[:2]...)
		a.Succeeded(now+1, deadly)
		So(b.Add(now+2, a.Events(now+2)...), ShouldHaveLength, 2)
		So(a.Add(now+3, b.Events(now+2)...), ShouldBeEmpty)
		shouldBeIn(a, now+3, deadly, "")
		shouldBeIn(b, now+3, deadly, "")
	})
}
