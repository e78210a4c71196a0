package idempotency

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
)

// claim asserts that a key must be claimed and returns its write.
func claim(k *KeyRegistry, now clock.Millis, req Request, lookup HostLookup) ClaimWrite {
	d := begin(k, now, req, lookup, Claim)
	writes := k.NextClaimWrites(now)
	convey.So(len(writes), convey.ShouldEqual, 1)
	convey.So(writes[0].Record, convey.ShouldEqual, d.Record)
	return writes[0]
}

// decided asserts the decision on a claim.
func decided(k *KeyRegistry, rec RecordID, want Verdict) Decision {
	d, ok := k.ClaimDecision(rec)
	convey.So(ok, convey.ShouldBeTrue)
	convey.So(d.Verdict, convey.ShouldEqual, want)
	return d
}

func foreignRow(inc, attempt uint64) string {
	b, _ := json.Marshal(claimRow{Host: "gh-2", Incarnation: inc, Attempt: attempt, Organisation: "farm"})
	return string(b)
}

func TestClaims(t *testing.T) {
	convey.Convey("a key without a prefix", t, func() {
		k := newRegistry()
		req := requestFor("order/17")
		peerReq := req
		peerReq.Mode = ModeClaimed
		w := claim(k, 0, req, noHost)
		peerReq.ClaimRow = w.Value
		convey.So(w.RowKey, convey.ShouldEqual, "claim/payments/farm/order/17")
		convey.So(w.ExpectVersion, convey.ShouldEqual, uint64(0))
		_, ok := k.ClaimDecision(w.Record)
		convey.So(ok, convey.ShouldBeFalse)
		convey.So(k.MaySend(0, w.Record), convey.ShouldBeFalse)

		convey.Convey("runs once its claim is committed", func() {
			k.HandleClaimOutcome(0, w.Record, ClaimOutcome{Kind: ClaimCommitted, Version: 1})
			decided(k, w.Record, Run)
			convey.So(k.MaySend(0, w.Record), convey.ShouldBeTrue)
			k.End(0, w.Record, Reply{Status: 200})
			begin(k, 0, req, noHost, Answer)
			begin(k, 0, peerReq, noHost, Answer)
		})
		convey.Convey("is read back when the write's reply is lost", func() {
			k.HandleClaimOutcome(0, w.Record, ClaimOutcome{Kind: ClaimReplyLost})
			reads := k.NextClaimReads(0)
			convey.So(len(reads), convey.ShouldEqual, 1)
			convey.So(reads[0].RowKey, convey.ShouldEqual, w.RowKey)
			convey.So(k.MaySend(0, w.Record), convey.ShouldBeFalse)

			convey.Convey("and runs when the row names this attempt", func() {
				k.HandleClaimOutcome(0, w.Record, ClaimOutcome{Kind: ClaimTaken, Value: w.Value, Version: 1})
				decided(k, w.Record, Run)
			})
			convey.Convey("and is written again when there is no row yet", func() {
				k.HandleClaimOutcome(0, w.Record, ClaimOutcome{Kind: ClaimAbsent})
				again := k.NextClaimWrites(0)
				convey.So(again, convey.ShouldResemble, []ClaimWrite{w})
			})
			convey.Convey("and is not run when the platform is unreachable by then", func() {
				k.HandleClaimOutcome(0, w.Record, ClaimOutcome{Kind: ClaimPlatformDown})
				decided(k, w.Record, Refuse)
			})
		})
		convey.Convey("is refused at once while the platform is down", func() {
			k.HandleClaimOutcome(0, w.Record, ClaimOutcome{Kind: ClaimPlatformDown})
			d := decided(k, w.Record, Refuse)
			convey.So(d.Reply.Outcome, convey.ShouldEqual, NotRun)
			convey.So(d.Reply.RetryAfter, convey.ShouldBeGreaterThan, 0)
			k.HandleClaimOutcome(0, w.Record, ClaimOutcome{Kind: ClaimCommitted})
			convey.So(k.MaySend(0, w.Record), convey.ShouldBeFalse)

			convey.Convey("and a retry replaces an attempt that was applied late", func() {
				w2 := claim(k, 1, req, noHost)
				convey.So(w2.Value, convey.ShouldNotEqual, w.Value)
				k.HandleClaimOutcome(1, w2.Record, ClaimOutcome{Kind: ClaimTaken, Value: w.Value, Version: 1})
				w3 := k.NextClaimWrites(1)
				convey.So(w3[0].ExpectVersion, convey.ShouldEqual, uint64(1))
				k.HandleClaimOutcome(1, w2.Record, ClaimOutcome{Kind: ClaimCommitted})
				decided(k, w2.Record, Run)
			})
		})
		convey.Convey("is unknown while the platform is down, if the caller has tried before", func() {
			req.Retry = true
			begin(k, 0, req, noHost, Wait)
			k.HandleClaimOutcome(0, w.Record, ClaimOutcome{Kind: ClaimPlatformDown})
			d := decided(k, w.Record, Unknown)
			convey.So(d.Reply.RetryAfter, convey.ShouldBeGreaterThan, 0)
			begin(k, 0, req, noHost, Claim)
			req.Key, req.Deadline = "order/18", 0
			begin(k, 0, req, noHost, Unknown)
		})
		convey.Convey("is given up past its deadline", func() {
			k.Tick(req.Deadline)
			convey.So(decided(k, w.Record, Refuse).Reply.Reason, convey.ShouldEqual, ReasonDeadline)
		})
		convey.Convey("keeps its claim when it did not run, until another host asks", func() {
			k.HandleClaimOutcome(0, w.Record, ClaimOutcome{Kind: ClaimCommitted})
			k.End(0, w.Record, Reply{Outcome: NotRun})
			d := begin(k, 0, req, noHost, Run)
			begin(k, 0, peerReq, noHost, Wait)
			k.End(0, d.Record, Reply{Outcome: NotRun})
			convey.So(begin(k, 0, peerReq, noHost, Refuse).GivenUp, convey.ShouldBeTrue)
			convey.So(k.MaySend(0, d.Record), convey.ShouldBeFalse)
			begin(k, 0, req, noHost, Claim)
		})
		convey.Convey("is written again when another row of its transaction has a conflict", func() {
			k.HandleClaimOutcome(0, w.Record, ClaimOutcome{Kind: ClaimRetry})
			begin(k, 0, requestFor("order/18"), noHost, Claim)
			convey.So(len(k.NextClaimWrites(0)), convey.ShouldEqual, 2)
		})
		convey.Convey("is not given up when an earlier process on this host claimed it", func() {
			k.HandleClaimOutcome(0, w.Record, ClaimOutcome{Kind: ClaimPlatformDown})
			peerReq.ClaimRow = foreignRow(5, 9)
			convey.So(begin(k, 0, peerReq, noHost, Unknown).GivenUp, convey.ShouldBeFalse)
		})
		convey.Convey("is not given up when the record of the claiming attempt was dropped", func() {
			k.HandleClaimOutcome(0, w.Record, ClaimOutcome{Kind: ClaimCommitted})
			k.MaySend(0, w.Record)
			k.End(0, w.Record, Reply{Status: 200})
			later := 2 * DefaultRetention
			k.Tick(later)
			w2 := claim(k, later, req, noHost)
			k.HandleClaimOutcome(later, w2.Record, ClaimOutcome{Kind: ClaimPlatformDown})
			convey.So(begin(k, later, peerReq, noHost, Unknown).GivenUp, convey.ShouldBeFalse)
			peerReq.ClaimRow = w2.Value
			convey.So(begin(k, later, peerReq, noHost, Refuse).GivenUp, convey.ShouldBeTrue)
		})
	})
}

func TestForeignClaims(t *testing.T) {
	convey.Convey("a key claimed by another incarnation", t, func() {
		k := newRegistry()
		req := requestFor("order/17")
		taken := ClaimOutcome{Kind: ClaimTaken, Value: foreignRow(5, 1), Version: 3}

		convey.Convey("is forwarded to it, and is claimed by compare-and-set once given up", func() {
			w := claim(k, 0, req, lookupResult("gh-2", Reachable))
			k.HandleClaimOutcome(0, w.Record, taken)
			d := decided(k, w.Record, Forward)
			convey.So(d.Host, convey.ShouldEqual, "gh-2")
			convey.So(d.ClaimRow, convey.ShouldEqual, taken.Value)
			convey.So(k.MaySend(0, w.Record), convey.ShouldBeFalse)
			k.TakeOver(0, w.Record)
			again := k.NextClaimWrites(0)
			convey.So(again[0].ExpectVersion, convey.ShouldEqual, uint64(3))
		})
		convey.Convey("does not block later requests once its deadline has passed", func() {
			w := claim(k, 0, req, lookupResult("gh-2", Reachable))
			k.HandleClaimOutcome(0, w.Record, taken)
			k.Tick(req.Deadline)
			convey.So(k.State().Records, convey.ShouldEqual, 0)
			req.Deadline *= 2
			begin(k, clock.Hour, req, lookupResult("gh-2", Reachable), Claim)
		})
		convey.Convey("is unknown at once when the claimant is unreachable, and permanently when it has terminated", func() {
			for _, p := range []HostStatus{Terminated, Unreachable, NeverSeen} {
				k := newRegistry()
				w := claim(k, 0, req, lookupResult("gh-2", p))
				k.HandleClaimOutcome(0, w.Record, taken)
				d := decided(k, w.Record, Unknown)
				k.End(0, w.Record, d.Reply)
				if p == Terminated {
					begin(k, 0, req, noHost, Unknown)
				} else {
					begin(k, 0, req, noHost, Claim)
				}
			}
		})
		convey.Convey("is unknown when its row can't be decoded", func() {
			w := claim(k, 0, req, noHost)
			k.HandleClaimOutcome(0, w.Record, ClaimOutcome{Kind: ClaimTaken, Value: "{", Version: 3})
			decided(k, w.Record, Unknown)
		})
		convey.Convey("is unknown when the row names an attempt here that is no longer on record", func() {
			w := claim(k, 0, req, noHost)
			k.HandleClaimOutcome(0, w.Record, ClaimOutcome{Kind: ClaimTaken, Value: foreignRow(testIncarnation, 0), Version: 3})
			decided(k, w.Record, Unknown)
		})
	})
}

func TestGroupCommit(t *testing.T) {
	convey.Convey("many claims share few transactions", t, func() {
		k := newRegistry()
		for i := range 2*MaxClaims + 1 {
			begin(k, 0, requestFor(fmt.Sprintf("order/%d", i)), noHost, Claim)
		}
		for _, want := range []int{MaxClaims, MaxClaims, 1, 0} {
			convey.So(len(k.NextClaimWrites(0)), convey.ShouldEqual, want)
		}
		counts := k.State().Counts
		convey.So(counts.ClaimWrites, convey.ShouldEqual, 2*MaxClaims+1)
		convey.So(counts.ClaimTransactions, convey.ShouldEqual, 3)
	})
	convey.Convey("a key with a prefix needs no write", t, func() {
		k := newRegistry()
		run(k, 0, requestFor(k.Prefix(0)+"a"))
		convey.So(k.NextClaimWrites(0), convey.ShouldBeEmpty)
	})
}

// TestStoreRestored plays a platform that loses a committed claim: without the guard,
// the second host would run the key again.
func TestStoreRestored(t *testing.T) {
	convey.Convey("a key that another host has run, whose claim the platform has lost", t, func() {
		first, second := newRegistry(), newRegistry()
		second.Incarnation = first.Incarnation + 1
		req := requestFor("order/17")
		w := claim(first, 0, req, noHost)
		first.HandleClaimOutcome(0, w.Record, ClaimOutcome{Kind: ClaimCommitted, Version: 1})
		decided(first, w.Record, Run)
		convey.So(first.MaySend(0, w.Record), convey.ShouldBeTrue)
		first.End(0, w.Record, Reply{Status: 200})
		for _, k := range []*KeyRegistry{first, second} {
			k.StoreRestored(10)
		}
		convey.Convey("is not claimed by a second host for a while", func() {
			d := begin(second, 20, req, noHost, Refuse)
			convey.So(d.Reply.Outcome, convey.ShouldEqual, NotRun)
			convey.So(d.Reply.Reason, convey.ShouldEqual, ReasonStoreRestored)
			convey.So(d.Reply.RetryAfter, convey.ShouldBeGreaterThan, restoreGuard/2)
			convey.So(second.NextClaimWrites(20), convey.ShouldBeEmpty)
		})
		convey.Convey("is unknown to a caller that says it has asked before", func() {
			again := req
			again.Retry = true
			convey.So(begin(second, 20, again, noHost, Unknown).Reply.Reason, convey.ShouldEqual, ReasonStoreRestored)
		})
		convey.Convey("is answered from its record by the host that ran it", func() { begin(first, 20, req, noHost, Answer) })
		convey.Convey("leaves keys with a prefix as they were", func() {
			begin(second, 20, requestFor(second.Prefix(20)+"x"), noHost, Run)
		})
		convey.Convey("can be claimed again later", func() { begin(second, 10+restoreGuard, requestFor("order/18"), noHost, Claim) })
	})
	convey.Convey("a claim whose write was on its way when the platform came back older is given up and never sent", t, func() {
		k := newRegistry()
		w := claim(k, 0, requestFor("order/17"), noHost)
		k.StoreRestored(10)
		d := decided(k, w.Record, Refuse)
		convey.So(d.Reply.Reason, convey.ShouldEqual, ReasonStoreRestored)
		k.HandleClaimOutcome(11, w.Record, ClaimOutcome{Kind: ClaimCommitted, Version: 1})
		convey.So(k.MaySend(11, w.Record), convey.ShouldBeFalse)
	})
}
