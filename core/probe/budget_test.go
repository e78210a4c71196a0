package probe

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"siskinpath/core/clock"
)

func TestBudget(t *testing.T) {
	convey.Convey("a budget", t, func() {
		b := &Budget{}
		convey.Convey("allows nothing without a rate", func() {
			convey.So(b.Allow(0, "booking", "b01"), convey.ShouldBeFalse)
		})
		b.SetRate(0, "booking", "b01", 2)
		convey.Convey("starts empty", func() {
			convey.So(b.Allow(499, "booking", "b01"), convey.ShouldBeFalse)
			convey.So(b.Allow(500, "booking", "b01"), convey.ShouldBeTrue)
			convey.So(b.Allow(500, "booking", "b01"), convey.ShouldBeFalse)
		})
		convey.Convey("holds at most one probe", func() {
			convey.So(b.Allow(clock.Hour, "booking", "b01"), convey.ShouldBeTrue)
			convey.So(b.Allow(clock.Hour, "booking", "b01"), convey.ShouldBeFalse)
		})
		convey.Convey("starts empty again after Remove", func() {
			b.Remove("booking", "b01")
			convey.So(b.Allow(clock.Hour, "booking", "b01"), convey.ShouldBeFalse)
			b.SetRate(clock.Hour, "booking", "b01", 2)
			convey.So(b.Allow(clock.Hour, "booking", "b01"), convey.ShouldBeFalse)
		})
		convey.Convey("accepts a negative or huge rate", func() {
			b.SetRate(0, "booking", "b02", -1)
			convey.So(b.Allow(clock.Hour, "booking", "b02"), convey.ShouldBeFalse)
			b.SetRate(0, "booking", "b03", 1e300)
			convey.So(b.Allow(1, "booking", "b03"), convey.ShouldBeTrue)
		})
		convey.Convey("starts full and holds several probes with StartFull and Burst", func() {
			full := &Budget{Burst: 3, StartFull: true}
			full.SetRate(0, "booking", "b01", 2)
			for range 3 {
				convey.So(full.Allow(0, "booking", "b01"), convey.ShouldBeTrue)
			}
			convey.So(full.Allow(499, "booking", "b01"), convey.ShouldBeFalse)
			convey.So(full.Allow(500, "booking", "b01"), convey.ShouldBeTrue)
		})
		convey.Convey("is split evenly", func() {
			convey.So(RatePerUpstream(10, 4), convey.ShouldEqual, 2.5)
			convey.So(RatePerUpstream(10, 0), convey.ShouldEqual, 0)
		})
	})
}

// TestProveBucket hands an upstream back and forth between two hosts and checks that
// every window has at most rate*window + 1 probes.
func TestProveBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.01, 200).Draw(t, "rate")
		hosts := [2]*Budget{{}, {}}
		holder := 0
		now := clock.Millis(0)
		var probes []clock.Millis
		hosts[holder].SetRate(now, "s", "u", rate)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, 2000).Draw(t, "pause"))
			if rapid.IntRange(0, 9).Draw(t, "move") == 0 {
				hosts[holder].Remove("s", "u")
				holder = 1 - holder
				hosts[holder].SetRate(now, "s", "u", rate)
			}
			if hosts[holder].Allow(now, "s", "u") {
				probes = append(probes, now)
			}
		}
		checkWindows(t, probes, rate)
	})
}

func checkWindows(t *rapid.T, probes []clock.Millis, rate float64) {
	for i := range probes {
		for j := i; j < len(probes); j++ {
			window := float64(probes[j]-probes[i]) / float64(clock.Second)
			if count := float64(j - i + 1); count > rate*window+1+1e-6 {
				t.Fatalf("%v probes in %v s at a rate of %v per second", count, window, rate)
			}
		}
	}
}
