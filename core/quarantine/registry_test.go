package quarantine

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
)

var (
	deadly = Of("10.0.0.1", "GET", "shop", "/a", nil)
	other  = Of("10.0.0.1", "GET", "shop", "/b", nil)
)

// endsOf returns ends of n upstreams under a request.
func endsOf(f Fingerprint, n int) (ends []End) {
	for i := range n {
		ends = append(ends, End{Request: f, Upstream: fmt.Sprint("u", i)})
	}
	return ends
}

func TestFingerprint(t *testing.T) {
	Convey("contents that differ in one field have different fingerprints", t, func() {
		seen := map[Fingerprint]bool{}
		for _, f := range []Fingerprint{
			Of("c", "GET", "h", "/p", nil), Of("d", "GET", "h", "/p", nil), Of("c", "PUT", "h", "/p", nil),
			Of("c", "GET", "i", "/p", nil), Of("c", "GET", "h", "/q", nil), Of("c", "GET", "h", "/p", []byte("b")),
			Of("c", "GET", "h/", "p", nil),
		} {
			So(seen[f], ShouldBeFalse)
			seen[f] = true
		}
		So(Of("c", "GET", "h", "/p", []byte("b")), ShouldEqual, Of("c", "GET", "h", "/p", []byte("b")))
	})
}

func TestRegistry(t *testing.T) {
	const now = clock.Hour
	Convey("a registry", t, func() {
		g := &Registry{}
		Convey("quarantines a request at the third end of an upstream, and no other", func() {
			g.Add(now, endsOf(deadly, 2)...)
			So(g.Left(now, deadly), ShouldEqual, 0)
			g.Add(now, endsOf(deadly, 2)...)
			So(g.Left(now, deadly), ShouldEqual, 0)
			So(g.Add(now, endsOf(deadly, 3)...), ShouldHaveLength, 1)
			So(g.Left(now, deadly), ShouldEqual, quarantineTime)
			So(g.Left(now, other), ShouldEqual, 0)
		})
		Convey("counts a start of an upstream once", func() {
			for range 5 {
				g.Suspect(now, deadly, "u0")
				g.Add(now, endsOf(deadly, 1)...)
			}
			So(g.Left(now, deadly), ShouldEqual, 0)
		})
		Convey("counts a suspicion until it is retracted", func() {
			g.Add(now, endsOf(deadly, 2)...)
			g.Suspect(now, deadly, "x")
			So(g.Left(now, deadly), ShouldBeGreaterThan, 0)
			g.Retract(deadly, "x")
			So(g.Left(now, deadly), ShouldEqual, 0)
			So(g.Ends(now), ShouldHaveLength, 2)
		})
		Convey("tells no other host of a suspicion", func() {
			g.Suspect(now, deadly, "x")
			So(g.Ends(now), ShouldBeEmpty)
			So(g.Succeeded(deadly), ShouldBeEmpty)
		})
		Convey("does not retract what is confirmed", func() {
			g.Add(now, endsOf(deadly, 3)...)
			g.Retract(deadly, "u0")
			So(g.Left(now, deadly), ShouldBeGreaterThan, 0)
		})
		Convey("releases a request that has succeeded, also if an end is heard of later", func() {
			g.Add(now, endsOf(deadly, 3)...)
			So(g.Succeeded(deadly), ShouldHaveLength, 3)
			So(g.Left(now, deadly), ShouldEqual, 0)
			So(g.Add(now, endsOf(deadly, 3)...), ShouldBeEmpty)
			So(g.Left(now, deadly), ShouldEqual, 0)
		})
		Convey("ends a quarantine after its time, and needs one more end for the next", func() {
			g.Add(now, endsOf(deadly, 3)...)
			later := now + quarantineTime
			So(g.Left(later-1, deadly), ShouldEqual, 1)
			So(g.Left(later, deadly), ShouldEqual, 0)
			for i := range 2 * maxEnds {
				g.Add(later, End{Request: deadly, Upstream: fmt.Sprint("later", i)})
				So(g.Left(later, deadly), ShouldEqual, quarantineTime)
			}
			So(len(g.Ends(later)), ShouldBeLessThanOrEqualTo, maxEnds)
		})
		Convey("counts the time of a quarantine from the end that another host has seen", func() {
			ends := endsOf(deadly, 3)
			for i := range ends {
				ends[i].Age = clock.Minute
			}
			g.Add(now, ends...)
			So(g.Left(now, deadly), ShouldEqual, quarantineTime-clock.Minute)
		})
		Convey("remembers a limited number of requests, and those in quarantine longest", func() {
			g.Add(now, endsOf(deadly, 3)...)
			for i := range 2 * maxRequests {
				g.Add(now+clock.Millis(i), End{Request: Of("", "", "", fmt.Sprint(i), nil), Upstream: "u"})
			}
			So(g.Len(), ShouldEqual, maxRequests)
			So(g.Left(now, deadly), ShouldBeGreaterThan, 0)
			So(g.Report(now), ShouldHaveLength, 1)
		})
	})
	Convey("hosts that exchange what they know in any order agree", t, func() {
		a, b := &Registry{}, &Registry{}
		a.Add(now, endsOf(deadly, 3)...)
		b.Add(now, endsOf(deadly, 2)...)
		a.Succeeded(deadly)
		fromB := b.Ends(now)
		So(b.Add(now, a.Ends(now)...), ShouldHaveLength, 3)
		So(a.Add(now, fromB...), ShouldBeEmpty)
		So(a.Left(now, deadly), ShouldEqual, b.Left(now, deadly))
	})
}
