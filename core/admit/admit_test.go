package admit

import (
	"math/rand/v2"
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"siskinpath/core/clock"
)

func TestTokenBucket(t *testing.T) {
	convey.Convey("a bucket allows its burst at once, then its rate", t, func() {
		var b TokenBucket
		b.Set(1000, 10, 3)
		for range 3 {
			convey.So(b.Take(1000), convey.ShouldBeTrue)
		}
		convey.So(b.Take(1000), convey.ShouldBeFalse)
		next := b.NextAt(1000)
		convey.So(next, convey.ShouldBeBetweenOrEqual, clock.Millis(1100), clock.Millis(1101))
		convey.So(b.Take(next), convey.ShouldBeTrue)
	})
	convey.Convey("the zero value allows everything", t, func() {
		var b TokenBucket
		convey.So(b.Take(1), convey.ShouldBeTrue)
		convey.So(b.Take(1), convey.ShouldBeTrue)
	})
}

func TestBudget(t *testing.T) {
	convey.Convey("a budget grows with ordinary work up to its burst", t, func() {
		b := Budget{Ratio: 0.1, Burst: 2}
		convey.So(b.Withdraw(), convey.ShouldBeFalse)
		for range 100 {
			b.Deposit()
		}
		convey.So(b.Withdraw(), convey.ShouldBeTrue)
		convey.So(b.Withdraw(), convey.ShouldBeTrue)
		convey.So(b.Withdraw(), convey.ShouldBeFalse)
	})
}

// TestSlidingWindow checks that no period of one second has more events than the limit,
// that Take succeeds at the time that NextAt returns, and that this time is at most two
// slots more than a second away, so that little of the rate stays unused.
func TestSlidingWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := SlidingWindow{PerSecond: rapid.IntRange(1, 50).Draw(t, "rate")}
		now := clock.Millis(rapid.IntRange(0, 5000).Draw(t, "start"))
		var taken []clock.Millis
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now += clock.Millis(rapid.SampledFrom([]int{0, 0, 1, 7, 30, 500, 3000}).Draw(t, "gap"))
			if !w.Take(now) {
				next := w.NextAt(now)
				if next <= now || next > now+clock.Second+2*slotLength {
					t.Fatalf("NextAt returned %d at %d", next, now)
				}
				now = next
				if !w.Take(now) {
					t.Fatalf("Take fails at %d, the time that NextAt returned", now)
				}
			}
			taken = append(taken, now)
			if n := within(taken, now); n > w.PerSecond {
				t.Fatalf("%d events within one second, the limit is %d", n, w.PerSecond)
			}
		}
	})
}

func within(taken []clock.Millis, now clock.Millis) int {
	n := 0
	for _, at := range taken {
		if at > now-clock.Second {
			n++
		}
	}
	return n
}

func TestRetryDelay(t *testing.T) {
	convey.Convey("delays grow with the overload", t, func() {
		rnd := rand.New(rand.NewPCG(1, 1))
		light := meanDelay(&RetryDelay{Min: 20, Max: 10_000}, 10, 1, rnd)
		heavy := meanDelay(&RetryDelay{Min: 20, Max: 10_000}, 10, 9, rnd)
		convey.So(heavy, convey.ShouldBeGreaterThan, 3*light)
	})
	convey.Convey("delays stay within the bounds", t, func() {
		rnd := rand.New(rand.NewPCG(1, 1))
		s := RetryDelay{Min: 20, Max: 100}
		for range 100 {
			s.RecordRequest(1000)
			after := s.RecordRefusal(1000, 5000, rnd)
			convey.So(after, convey.ShouldBeBetweenOrEqual, clock.Millis(20), clock.Millis(100))
		}
	})
}

// meanDelay returns the mean retry delay when refused of offered requests are refused.
func meanDelay(s *RetryDelay, offered, refused int, rnd *rand.Rand) float64 {
	var sum, n float64
	for range 100 {
		for i := range offered {
			s.RecordRequest(1000)
			if i < refused {
				sum += float64(s.RecordRefusal(1000, 200, rnd))
				n++
			}
		}
	}
	return sum / n
}
