package upstream

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"siskinpath/siskinpathd/memory"
)

// TestLongRepliesDoNotEndShortOnes guards against replies without end that use up the budget
// and make short replies fail.
func TestLongRepliesDoNotEndShortOnes(t *testing.T) {
	Convey("four replies have used up the budget", t, func() {
		b := &ReplyBudget{PerReply: 1000, Total: 3000}
		for range 4 {
			So(b.meter().add(750), ShouldBeNil)
		}
		short := b.meter()
		Convey("one below an equal share is read", func() {
			So(short.add(600), ShouldBeNil)
		})
		Convey("one above it is not", func() {
			So(short.add(601), ShouldEqual, ErrNoMemory)
		})
		Convey("and one longer than allowed is not", func() {
			So(short.add(1001), ShouldEqual, errReplyTooLong)
		})
		Convey("the bytes of one that ends are free again", func() {
			short.release()
			last := b.meter()
			So(last.add(600), ShouldBeNil)
			last.release()
			So(b.inUse.Load(), ShouldEqual, 3000)
			So(b.replies.Load(), ShouldEqual, 4)
		})
	})
}

// TestReplyWaitsForMemory guards against replies that fail although others are about to be
// released, and against waiting for memory that nobody will release.
func TestReplyWaitsForMemory(t *testing.T) {
	Convey("a reply that waits for its caller uses up the budget", t, func() {
		shared := &memory.Budget{Total: 4000}
		b := &ReplyBudget{PerReply: 1000, Total: 1000, Max: 1500, Memory: shared}
		delivered := b.meter()
		So(delivered.reserve(900), ShouldBeNil)
		next := b.meter()
		Convey("the next one is read when that one is released", func() {
			looks := 0
			b.Reclaim = func() bool {
				So(b.inUse.Load(), ShouldBeLessThanOrEqualTo, 900)
				if looks++; looks == 3 {
					delivered.release()
				}
				return true
			}
			So(next.reserve(800), ShouldBeNil)
			So(looks, ShouldBeGreaterThanOrEqualTo, 3)
			So(b.inUse.Load(), ShouldEqual, 800)
			So(shared.InUse(), ShouldEqual, 800)
		})
		Convey("it fails if nothing is being delivered", func() {
			b.Reclaim = func() bool { return false }
			So(next.reserve(800), ShouldEqual, ErrNoMemory)
			So(b.inUse.Load(), ShouldEqual, 900)
		})
		Convey("it fails when nobody waits for it any more", func() {
			b.Reclaim = func() bool { return true }
			done := make(chan struct{})
			close(done)
			next.done = done
			So(next.reserve(800), ShouldEqual, ErrNoMemory)
		})
		Convey("it fails at once if too many others wait", func() {
			b.Reclaim = func() bool { return true }
			b.waiting.Store(maxWaitingReplies)
			So(next.reserve(800), ShouldEqual, ErrNoMemory)
			So(b.waiting.Load(), ShouldEqual, maxWaitingReplies)
		})
		Convey("a short one does not wait, up to the limit of all replies", func() {
			So(next.reserve(500), ShouldBeNil)
			So(b.meter().reserve(200), ShouldEqual, ErrNoMemory)
		})
		Convey("bytes that were counted before they are read are counted once", func() {
			So(next.reserve(400), ShouldBeNil)
			So(next.add(300), ShouldBeNil)
			So(next.add(150), ShouldBeNil)
			So(next.bytes, ShouldEqual, 450)
		})
		Convey("a released one can be released again", func() {
			delivered.release()
			delivered.release()
			So(b.inUse.Load(), ShouldEqual, 0)
			So(b.replies.Load(), ShouldEqual, 1)
			So(shared.InUse(), ShouldEqual, 0)
		})
		Convey("no reply is read when other parts have taken the shared memory", func() {
			So(shared.Take(3100), ShouldBeTrue)
			So(next.reserve(50), ShouldEqual, ErrNoMemory)
			So(next.add(50), ShouldEqual, ErrNoMemory)
		})
	})
}
