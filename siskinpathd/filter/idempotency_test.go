package filter

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
	"siskinpath/core/idempotency"
	"siskinpath/siskinpathd/call"
)

const thisIncarnation = 7

// fakeDeciders is another host that decides, as far as this one can reach it.
type fakeDeciders struct {
	presence idempotency.HostStatus
	answer   call.Answer
	notSent  bool
	asked    atomic.Int64
}

func (f *fakeDeciders) LookupHost(uint64) (string, idempotency.HostStatus) { return "gh-2", f.presence }

func (f *fakeDeciders) Decide(context.Context, string, *call.Call) (call.Answer, bool) {
	f.asked.Add(1)
	return f.answer, f.notSent
}

// fakeClaims decides each claim as told.
type fakeClaims struct{ decision idempotency.Decision }

func (f *fakeClaims) Claim(rec idempotency.RecordID) idempotency.Decision {
	d := f.decision
	d.Record = rec
	return d
}

func (f *fakeClaims) TakeOver(rec idempotency.RecordID) idempotency.Decision { return f.Claim(rec) }

// upstreamCount counts the runs of requests that reached the end of the chain.
type upstreamCount struct {
	runs   atomic.Int64
	hold   chan struct{}
	answer call.Answer
}

func (u *upstreamCount) next(c *call.Call) call.Answer {
	if u.hold != nil {
		<-u.hold
	}
	if c.MaySend == nil || !c.MaySend() {
		return call.NotRun("barred", 0)
	}
	u.runs.Add(1)
	return u.answer
}

func answered(body string) call.Answer {
	return call.Answer{Reply: idempotency.Reply{Outcome: idempotency.Answered, Status: 200, Body: []byte(body)}}
}

func newOnce(hosts Hosts, claims Claimer) (*Idempotency, clock.Clock) {
	c := clock.NewSystem()
	k := &LockedKeyRegistry{Clock: c, Registry: &idempotency.KeyRegistry{Incarnation: thisIncarnation, Host: "gh-1"}}
	return &Idempotency{Clock: c, Registry: k, Claimer: claims, Hosts: hosts}, c
}

func keyed(c clock.Clock, key, organisation string) *call.Call {
	return &call.Call{Service: "payments", Organisation: organisation, Key: key, Method: "POST", URI: "/deposit", Deadline: c.Now() + 2*clock.Second}
}

func ownKey(o *Idempotency, suffix string) string {
	var prefix string
	o.Registry.WithLock(func(now clock.Millis, k *idempotency.KeyRegistry) { prefix = k.Prefix(now) })
	return prefix + suffix
}

func shouldAnswer(a call.Answer, outcome idempotency.Outcome, body string, recorded bool) {
	So(a.Outcome, ShouldEqual, outcome)
	So(string(a.Body), ShouldEqual, body)
	So(a.Recorded, ShouldEqual, recorded)
}

func TestOwnKeys(t *testing.T) {
	Convey("a retry with this host's key is given the recorded answer", t, func() {
		o, c := newOnce(&fakeDeciders{}, &fakeClaims{})
		u := &upstreamCount{answer: answered("paid")}
		key := ownKey(o, "a")
		shouldAnswer(o.Apply(keyed(c, key, "ring-7"), u.next), idempotency.Answered, "paid", false)
		shouldAnswer(o.Apply(keyed(c, key, "ring-7"), u.next), idempotency.Answered, "paid", true)
		So(u.runs.Load(), ShouldEqual, 1)
	})
	Convey("the same key of another organisation is another request", t, func() {
		o, c := newOnce(&fakeDeciders{}, &fakeClaims{})
		u := &upstreamCount{answer: answered("paid")}
		key := ownKey(o, "a")
		o.Apply(keyed(c, key, "ring-7"), u.next)
		shouldAnswer(o.Apply(keyed(c, key, "ring-8"), u.next), idempotency.Answered, "paid", false)
		So(u.runs.Load(), ShouldEqual, 2)
	})
	Convey("many at once run once, and all get its answer", t, func() {
		o, c := newOnce(&fakeDeciders{}, &fakeClaims{})
		u := &upstreamCount{answer: answered("paid"), hold: make(chan struct{})}
		key := ownKey(o, "a")
		var wg sync.WaitGroup
		for range 50 {
			wg.Go(func() {
				a := o.Apply(keyed(c, key, "ring-7"), u.next)
				if a.Outcome != idempotency.Answered || string(a.Body) != "paid" {
					t.Errorf("answer %v %q", a.Outcome, a.Body)
				}
			})
		}
		close(u.hold)
		wg.Wait()
		So(u.runs.Load(), ShouldEqual, 1)
	})
	Convey("a request given up unsent is not run, and may run later", t, func() {
		o, c := newOnce(&fakeDeciders{}, &fakeClaims{})
		key := ownKey(o, "a")
		refuse := func(*call.Call) call.Answer { return call.NotRun("overloaded", 100) }
		shouldAnswer(o.Apply(keyed(c, key, "ring-7"), refuse), idempotency.NotRun, "", false)
		u := &upstreamCount{answer: answered("paid")}
		shouldAnswer(o.Apply(keyed(c, key, "ring-7"), u.next), idempotency.Answered, "paid", false)
	})
	Convey("a lost run stays unknown for every retry", t, func() {
		o, c := newOnce(&fakeDeciders{}, &fakeClaims{})
		u := &upstreamCount{answer: call.Unknown(call.ReasonOutcomeUnknown)}
		key := ownKey(o, "a")
		shouldAnswer(o.Apply(keyed(c, key, "ring-7"), u.next), idempotency.OutcomeUnknown, "", false)
		So(o.Apply(keyed(c, key, "ring-7"), u.next).Outcome, ShouldEqual, idempotency.OutcomeUnknown)
		So(u.runs.Load(), ShouldEqual, 1)
	})
}

func TestOtherHostsKeys(t *testing.T) {
	other := "0000000000000008-0-a"
	for name, presence := range map[string]idempotency.HostStatus{"gone": idempotency.Terminated, "unreachable": idempotency.Unreachable, "never heard of": idempotency.NeverSeen} {
		Convey("a key of an incarnation that is "+name+" never runs here", t, func() {
			o, c := newOnce(&fakeDeciders{presence: presence}, &fakeClaims{})
			u := &upstreamCount{answer: answered("paid")}
			So(o.Apply(keyed(c, other, "ring-7"), u.next).Outcome, ShouldEqual, idempotency.OutcomeUnknown)
			So(u.runs.Load(), ShouldEqual, 0)
		})
	}
	Convey("a live host decides, and its answer is passed on", t, func() {
		f := &fakeDeciders{presence: idempotency.Reachable, answer: answered("paid there")}
		o, c := newOnce(f, &fakeClaims{})
		u := &upstreamCount{}
		shouldAnswer(o.Apply(keyed(c, other, "ring-7"), u.next), idempotency.Answered, "paid there", false)
		So(f.asked.Load(), ShouldEqual, 1)
		So(u.runs.Load(), ShouldEqual, 0)
	})
	Convey("a request without time left to ask did not run this time", t, func() {
		o, c := newOnce(&fakeDeciders{presence: idempotency.Reachable, notSent: true, answer: call.NotRun("deadline", 0)}, &fakeClaims{})
		retry := keyed(c, other, "ring-7")
		a := o.Apply(retry, nil)
		So(a.Outcome, ShouldEqual, idempotency.NotRun)
		retry.Unanswered = true
		So(a.ForCaller(retry).Outcome, ShouldEqual, idempotency.OutcomeUnknown)
	})
	Convey("a live host that can't be asked leaves the outcome unknown", t, func() {
		o, c := newOnce(&fakeDeciders{presence: idempotency.Reachable, notSent: true, answer: call.Unknown("lost")}, &fakeClaims{})
		u := &upstreamCount{}
		So(o.Apply(keyed(c, other, "ring-7"), u.next).Outcome, ShouldEqual, idempotency.OutcomeUnknown)
		So(u.runs.Load(), ShouldEqual, 0)
	})
}

func TestClaimedKeys(t *testing.T) {
	Convey("without a claim nothing runs", t, func() {
		o, c := newOnce(&fakeDeciders{}, &fakeClaims{decision: idempotency.Decision{Verdict: idempotency.Refuse, Reply: idempotency.Reply{Reason: "platform_down", RetryAfter: 1000}}})
		u := &upstreamCount{answer: answered("paid")}
		a := o.Apply(keyed(c, "plain-key", "ring-7"), u.next)
		shouldAnswer(a, idempotency.NotRun, "", false)
		So(a.RetryAfter, ShouldEqual, clock.Second)
		So(u.runs.Load(), ShouldEqual, 0)
	})
}

// claimant is a host that was refused a slot after it wrote its claim.
type claimant struct{ once *Idempotency }

func (f *claimant) LookupHost(uint64) (string, idempotency.HostStatus) {
	return "gh-1", idempotency.Reachable
}

// Decide asks the claimant as the peer link does.
func (f *claimant) Decide(_ context.Context, _ string, c *call.Call) (call.Answer, bool) {
	return f.once.Apply(c, nil), false
}

// claims settles claims against one row of the platform.
type claims struct {
	keeper *LockedKeyRegistry
	row    *claimRow
}

type claimRow struct {
	value   string
	version uint64
}

func (f *claims) Claim(rec idempotency.RecordID) (d idempotency.Decision) {
	f.keeper.WithLock(func(now clock.Millis, k *idempotency.KeyRegistry) {
		for _, w := range k.NextClaimWrites(now) {
			k.HandleClaimOutcome(now, w.Record, f.row.write(w))
		}
		d, _ = k.ClaimDecision(rec)
	})
	return d
}

func (f *claims) TakeOver(rec idempotency.RecordID) idempotency.Decision {
	f.keeper.WithLock(func(now clock.Millis, k *idempotency.KeyRegistry) { k.TakeOver(now, rec) })
	return f.Claim(rec)
}

func (r *claimRow) write(w idempotency.ClaimWrite) idempotency.ClaimOutcome {
	if r.version != w.ExpectVersion {
		return idempotency.ClaimOutcome{Kind: idempotency.ClaimTaken, Value: r.value, Version: r.version}
	}
	r.value = w.Value
	r.version++
	return idempotency.ClaimOutcome{Kind: idempotency.ClaimCommitted, Version: r.version}
}

func TestClaimTakenOver(t *testing.T) {
	Convey("a key whose claimant was refused a slot runs at the host to which it comes back", t, func() {
		row := &claimRow{}
		c := &clock.Manual{}
		host := func(incarnation uint64, others Hosts) *Idempotency {
			k := &LockedKeyRegistry{Clock: c, Registry: &idempotency.KeyRegistry{Incarnation: incarnation}}
			return &Idempotency{Clock: c, Registry: k, Claimer: &claims{keeper: k, row: row}, Hosts: others}
		}
		first := host(1, &fakeDeciders{})
		second := host(2, &claimant{once: first})
		full := func(*call.Call) call.Answer { return call.NotRun("overloaded", 10) }
		shouldAnswer(first.Apply(keyed(c, "plain-key", "ring-7"), full), idempotency.NotRun, "", false)
		u := &upstreamCount{answer: answered("paid")}
		shouldAnswer(second.Apply(keyed(c, "plain-key", "ring-7"), u.next), idempotency.Answered, "paid", false)
		So(u.runs.Load(), ShouldEqual, 1)
	})
}

func TestTruthfulRefusals(t *testing.T) {
	down := &fakeClaims{decision: idempotency.Decision{Verdict: idempotency.Refuse, Reply: idempotency.Reply{Reason: "platform_down"}}}
	Convey("a retry whose earlier sending got no answer is not told that it did not run, unless the record says so", t, func() {
		o, c := newOnce(&fakeDeciders{}, down)
		u := &upstreamCount{answer: answered("paid")}
		retry := keyed(c, "plain-key", "ring-7")
		So(o.Apply(retry, u.next).ForCaller(retry).Outcome, ShouldEqual, idempotency.NotRun)
		retry.Unanswered = true
		So(o.Apply(retry, u.next).ForCaller(retry).Outcome, ShouldEqual, idempotency.OutcomeUnknown)
	})
	Convey("the host that decides about a key knows that it never ran", t, func() {
		o, c := newOnce(&fakeDeciders{}, down)
		retry := keyed(c, ownKey(o, "a"), "ring-7")
		retry.Unanswered = true
		refuse := func(*call.Call) call.Answer { return call.NotRun("overloaded", 100) }
		So(o.Apply(retry, refuse).ForCaller(retry).Outcome, ShouldEqual, idempotency.NotRun)
	})
	Convey("a refusal before the record was asked says nothing of an earlier sending", t, func() {
		_, c := newOnce(&fakeDeciders{}, down)
		retry := keyed(c, "plain-key", "ring-7")
		retry.Unanswered = true
		busy := &Admission{MaxInFlight: 0}
		So(busy.Apply(retry, nil).ForCaller(retry).Reason, ShouldEqual, call.ReasonEarlierSending)
	})
}

func TestEnds(t *testing.T) {
	Convey("a host that says not run of a request that was sent is not believed", t, func() {
		o, c := newOnce(&fakeDeciders{}, &fakeClaims{})
		key := ownKey(o, "a")
		lies := func(c *call.Call) call.Answer { c.MaySend(); return call.NotRun("overloaded", 100) }
		So(o.Apply(keyed(c, key, "ring-7"), lies).Outcome, ShouldEqual, idempotency.OutcomeUnknown)
	})
	takenBy8 := idempotency.ClaimOutcome{Kind: idempotency.ClaimTaken, Version: 3, Value: `{"host":"gh-2","incarnation":8,"attempt":1,"organisation":"ring-7"}`}
	Convey("a record that was passed to a claimant ends with its answer, for those that wait too", t, func() {
		f := &fakeDeciders{presence: idempotency.Reachable, answer: answered("paid there")}
		claims := &tableClaims{outcome: takenBy8}
		o, c := newOnce(f, claims)
		claims.keeper = o.Registry
		claims.before = func() {
			go o.Apply(keyed(c, "plain", "ring-7"), nil)
			for !o.Registry.someoneWaits() {
				runtime.Gosched()
			}
		}
		shouldAnswer(o.Apply(keyed(c, "plain", "ring-7"), nil), idempotency.Answered, "paid there", false)
		So(o.Registry.someoneWaits(), ShouldBeFalse)
	})
	Convey("a claim of a host that can't be asked leaves the outcome unknown", t, func() {
		claims := &tableClaims{outcome: takenBy8}
		o, c := newOnce(&fakeDeciders{presence: idempotency.Terminated}, claims)
		claims.keeper = o.Registry
		So(o.Apply(keyed(c, "plain", "ring-7"), nil).Outcome, ShouldEqual, idempotency.OutcomeUnknown)
	})
	Convey("an unknown outcome keeps its time to come back", t, func() {
		So(withStatus(idempotency.Reply{Outcome: idempotency.OutcomeUnknown, RetryAfter: 700}).RetryAfter, ShouldEqual, clock.Millis(700))
	})
}

// tableClaims settles claims by what the table service is made to say.
type tableClaims struct {
	keeper  *LockedKeyRegistry
	before  func() // called while the claim is open
	outcome idempotency.ClaimOutcome
}

func (f *tableClaims) Claim(rec idempotency.RecordID) (d idempotency.Decision) {
	if f.before != nil {
		f.before()
	}
	f.keeper.WithLock(func(now clock.Millis, k *idempotency.KeyRegistry) {
		for _, w := range k.NextClaimWrites(now) {
			k.HandleClaimOutcome(now, w.Record, f.outcome)
		}
		d, _ = k.ClaimDecision(rec)
	})
	return d
}

func (f *tableClaims) TakeOver(rec idempotency.RecordID) idempotency.Decision { return f.Claim(rec) }

func (k *LockedKeyRegistry) someoneWaits() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.waiting) > 0
}
