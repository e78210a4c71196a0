package idempotency

import (
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
)

const testIncarnation = 0x8f00c2d1a3b4e5f6

func newRegistry() *KeyRegistry { return &KeyRegistry{Incarnation: testIncarnation, Host: "gh-1"} }

func noHost(uint64) (string, HostStatus) { return "", NeverSeen }

// lookupResult returns a HostLookup that always returns host and status.
func lookupResult(host string, p HostStatus) HostLookup {
	return func(uint64) (string, HostStatus) { return host, p }
}

func requestFor(key string) Request {
	return Request{Service: "payments", Organisation: "farm", Key: key, Fingerprint: 7, Deadline: clock.Hour}
}

// begin asserts the verdict on a request and returns the decision on it.
func begin(k *KeyRegistry, now clock.Millis, req Request, lookup HostLookup, want Verdict) Decision {
	d := k.Begin(now, req, lookup)
	convey.So(d.Verdict, convey.ShouldEqual, want)
	return d
}

// run asserts that a key runs to its end and returns its record.
func run(k *KeyRegistry, now clock.Millis, req Request) RecordID {
	d := begin(k, now, req, noHost, Run)
	convey.So(k.MaySend(now, d.Record), convey.ShouldBeTrue)
	k.End(now, d.Record, Reply{Status: 200, Body: []byte("done")})
	return d.Record
}

func TestOwnKeys(t *testing.T) {
	convey.Convey("a key with this host's prefix", t, func() {
		k := newRegistry()
		now := 5 * clock.Minute
		req := requestFor(k.Prefix(now) + "a1")

		convey.Convey("runs once and is then answered from the record", func() {
			run(k, now, req)
			d := begin(k, now+1, req, noHost, Answer)
			convey.So(string(d.Reply.Body), convey.ShouldEqual, "done")
		})
		convey.Convey("makes a second request wait while it runs", func() {
			d := begin(k, now, req, noHost, Run)
			convey.So(begin(k, now, req, noHost, Wait).Record, convey.ShouldEqual, d.Record)
		})
		convey.Convey("is a distinct key in another organisation", func() {
			run(k, now, req)
			req.Organisation = "other"
			begin(k, now, req, noHost, Run)
		})
		convey.Convey("is invalid for a request with another fingerprint", func() {
			run(k, now, req)
			req.Fingerprint++
			convey.So(begin(k, now, req, noHost, Invalid).Reply.Reason, convey.ShouldEqual, ReasonKeyReused)
		})
		convey.Convey("may run again after it did not run", func() {
			d := begin(k, now, req, noHost, Run)
			k.End(now, d.Record, Reply{Outcome: NotRun})
			again := begin(k, now, req, noHost, Run)
			convey.So(k.MaySend(now, d.Record), convey.ShouldBeFalse)
			convey.So(k.MaySend(now, again.Record), convey.ShouldBeTrue)
		})
		convey.Convey("may not be sent once its deadline has passed", func() {
			req.Deadline = now + 10
			d := begin(k, now, req, noHost, Run)
			convey.So(k.MaySend(now+10, d.Record), convey.ShouldBeFalse)
			convey.So(k.MaySend(now+9, d.Record), convey.ShouldBeFalse)
		})
		convey.Convey("may be sent again only after NotSent", func() {
			d := begin(k, now, req, noHost, Run)
			convey.So(k.MaySend(now, d.Record), convey.ShouldBeTrue)
			convey.So(k.MaySend(now, d.Record), convey.ShouldBeFalse)
			k.NotSent(now, d.Record)
			convey.So(k.MaySend(now, d.Record), convey.ShouldBeTrue)
		})
		convey.Convey("is unknown when it was marked as sent and ends as not run", func() {
			d := begin(k, now, req, noHost, Run)
			k.MaySend(now, d.Record)
			convey.So(k.End(now, d.Record, Reply{Outcome: NotRun}).Outcome, convey.ShouldEqual, OutcomeUnknown)
			begin(k, now, req, noHost, Unknown)
		})
	})
}

func TestKeyShapes(t *testing.T) {
	convey.Convey("malformed keys are refused", t, func() {
		k := newRegistry()
		for _, key := range []string{"", " ", "a b", "a\n", "ä", strings.Repeat("k", MaxKeyBytes+1), k.Prefix(0)} {
			d := begin(k, 0, requestFor(key), noHost, Invalid)
			convey.So(d.Reply.Reason, convey.ShouldEqual, ReasonMalformedKey)
		}
	})
	convey.Convey("a prefix has one canonical spelling", t, func() {
		inc, window, ok := ParsePrefix(prefix(testIncarnation, 42) + "k")
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(inc, convey.ShouldEqual, uint64(testIncarnation))
		convey.So(window, convey.ShouldEqual, uint32(42))
		for _, key := range []string{
			"8F00c2d1a3b4e5f6-2a-k", "8f00c2d1a3b4e5f6-02a-k", "8f00c2d1a3b4e5f6-2A-k",
			"8f00c2d1a3b4e5f6-2a", "8f00c2d1a3b4e5f6--k", "8f00c2d1a3b4e5f6-123456789-k", "+f00c2d1a3b4e5f6-2a-k",
		} {
			_, _, ok := ParsePrefix(key)
			convey.So(ok, convey.ShouldBeFalse)
		}
	})
}

func TestKeysElsewhere(t *testing.T) {
	convey.Convey("a key of another incarnation", t, func() {
		k := newRegistry()
		req := requestFor(prefix(1, 0) + "a1")

		convey.Convey("is forwarded to it while it is reachable", func() {
			convey.So(begin(k, 0, req, lookupResult("gh-2", Reachable), Forward).Host, convey.ShouldEqual, "gh-2")
		})
		convey.Convey("is unknown at once when it is not reachable", func() {
			for _, p := range []HostStatus{Terminated, Unreachable, NeverSeen} {
				begin(k, 0, req, lookupResult("gh-2", p), Unknown)
			}
		})
		convey.Convey("is never forwarded twice", func() {
			req.Mode = ModeDecide
			begin(k, 0, req, lookupResult("gh-2", Reachable), Unknown)
		})
	})
}

func TestRetention(t *testing.T) {
	convey.Convey("a key is on record as long as its window is retained", t, func() {
		k := newRegistry()
		k.Retention = 3 * clock.Minute
		req := requestFor(k.Prefix(0) + "a1")
		run(k, 0, req)

		for now := clock.Millis(0); now < 4*clock.Minute; now += clock.Second {
			k.Tick(now)
			begin(k, now, req, noHost, Answer)
		}
		k.Tick(4 * clock.Minute)
		convey.So(k.State().Records, convey.ShouldEqual, 0)
		convey.So(k.State().RecordBytes, convey.ShouldEqual, 0)
		convey.So(begin(k, 4*clock.Minute, req, noHost, Unknown).Reply.Reason, convey.ShouldEqual, ReasonKeyTooOld)
	})
	convey.Convey("a running key is retained beyond its window", t, func() {
		k := newRegistry()
		req := requestFor(k.Prefix(0) + "a1")
		d := begin(k, 0, req, noHost, Run)
		k.Tick(30 * clock.Minute)
		k.End(30*clock.Minute, d.Record, Reply{Status: 200})
		k.Tick(31 * clock.Minute)
		begin(k, 31*clock.Minute, req, noHost, Answer)
		k.Tick(42 * clock.Minute)
		begin(k, 42*clock.Minute, req, noHost, Unknown)
	})
	convey.Convey("a key of a window that has not begun is invalid", t, func() {
		k := newRegistry()
		begin(k, 0, requestFor(prefix(testIncarnation, 1)+"a"), noHost, Invalid)
	})
	convey.Convey("a full registry refuses new keys and keeps the old ones", t, func() {
		k := newRegistry()
		k.MaxRecords = 2
		a, b, c := requestFor(k.Prefix(0)+"a"), requestFor(k.Prefix(0)+"b"), requestFor(k.Prefix(0)+"c")
		run(k, 0, a)
		run(k, 0, b)
		d := begin(k, 0, c, noHost, Refuse)
		convey.So(d.Reply.Reason, convey.ShouldEqual, ReasonRecordsFull)
		convey.So(d.Reply.RetryAfter, convey.ShouldBeGreaterThan, 0)
		begin(k, 0, a, noHost, Answer)
		begin(k, 0, b, noHost, Answer)
	})
	convey.Convey("an answer that is too large to keep is returned once and then unknown", t, func() {
		k := newRegistry()
		k.MaxRecordBytes = 2000
		req := requestFor(k.Prefix(0) + "a")
		d := begin(k, 0, req, noHost, Run)
		k.MaySend(0, d.Record)
		reply := k.End(0, d.Record, Reply{Status: 200, Body: make([]byte, 3000)})
		convey.So(len(reply.Body), convey.ShouldEqual, 3000)
		convey.So(begin(k, 0, req, noHost, Unknown).Reply.Reason, convey.ShouldEqual, ReasonAnswerNotKept)
	})
}
