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

// fakeHosts stands for another host that decides on keys, with the given status and
// answer.
type fakeHosts struct {
	status  idempotency.HostStatus
	answer  call.Answer
	notSent bool
	asked   atomic.Int64
}

func (f *fakeHosts) LookupHost(uint64) (string, idempotency.HostStatus) { return "gh-2", f.status }

func (f *fakeHosts) Decide(context.Context, string, *call.Call) (call.Answer, bool) {
	f.asked.Add(1)
	return f.answer, f.notSent
}

// fakeClaimer returns the same decision for every claim.
type fakeClaimer struct{ decision idempotency.Decision }

func (f *fakeClaimer) Claim(rec idempotency.RecordID) idempotency.Decision {
	d := f.decision
	d.Record = rec
	return d
}

func (f *fakeClaimer) TakeOver(rec idempotency.RecordID) idempotency.Decision { return f.Claim(rec) }

// countingUpstream ends the chain and counts the requests that run.
type countingUpstream struct {
	runs   atomic.Int64
	hold   chan struct{}
	answer call.Answer
}

func (u *countingUpstream) next(c *call.Call) call.Answer {
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

func newFilter(hosts Hosts, claims Claimer) (*Idempotency, clock.Clock) {
	c := clock.NewSystem()
	k := &LockedKeyRegistry{Clock: c, Registry: &idempotency.KeyRegistry{Incarnation: thisIncarnation, Host: "gh-1"}}
	return &Idempotency{Clock: c, Registry: k, Claimer: claims, Hosts: hosts}, c
}

func keyedCall(c clock.Clock, key, organisation string) *call.Call {
	return &call.Call{Service: "payments", Organisation: organisation, Key: key, Method: "POST", URI: "/deposit", Deadline: c.Now() + 2*clock.Second}
}

func ownKey(idem *Idempotency, suffix string) string {
	var prefix string
	idem.Registry.WithLock(func(now clock.Millis, k *idempotency.KeyRegistry) { prefix = k.Prefix(now) })
	return prefix + suffix
}

func shouldAnswer(a call.Answer, outcome idempotency.Outcome, body string, recorded bool) {
	So(a.Outcome, ShouldEqual, outcome)
	So(string(a.Body), ShouldEqual, body)
	So(a.Recorded, ShouldEqual, recorded)
}

func TestOwnKeys(t *testing.T) {
	Convey("a retry with a key of this host gets the recorded answer", t, func() {
		idem, c := newFilter(&fakeHosts{}, &fakeClaimer{})
		u := &countingUpstream{answer: answered("paid")}
		key := ownKey(idem, "a")
		shouldAnswer(idem.Apply(keyedCall(c, key, "ring-7"), u.next), idempotency.Answered, "paid", false)
		shouldAnswer(idem.Apply(keyedCall(c, key, "ring-7"), u.next), idempotency.Answered, "paid", true)
		So(u.runs.Load(), ShouldEqual, 1)
	})
	Convey("the same key of another organisation is a different request", t, func() {
		idem, c := newFilter(&fakeHosts{}, &fakeClaimer{})
		u := &countingUpstream{answer: answered("paid")}
		key := ownKey(idem, "a")
		idem.Apply(keyedCall(c, key, "ring-7"), u.next)
		shouldAnswer(idem.Apply(keyedCall(c, key, "ring-8"), u.next), idempotency.Answered, "paid", false)
		So(u.runs.Load(), ShouldEqual, 2)
	})
	Convey("concurrent requests with one key run once, and all get the answer", t, func() {
		idem, c := newFilter(&fakeHosts{}, &fakeClaimer{})
		u := &countingUpstream{answer: answered("paid"), hold: make(chan struct{})}
		key := ownKey(idem, "a")
		var wg sync.WaitGroup
		for range 50 {
			wg.Go(func() {
				a := idem.Apply(keyedCall(c, key, "ring-7"), u.next)
				if a.Outcome != idempotency.Answered || string(a.Body) != "paid" {
					t.Errorf("answer %v %q", a.Outcome, a.Body)
				}
			})
		}
		close(u.hold)
		wg.Wait()
		So(u.runs.Load(), ShouldEqual, 1)
	})
	Convey("a request that was refused before it was sent is not run, and a retry may run", t, func() {
		idem, c := newFilter(&fakeHosts{}, &fakeClaimer{})
		key := ownKey(idem, "a")
		refuse := func(*call.Call) call.Answer { return call.NotRun("overloaded", 100) }
		shouldAnswer(idem.Apply(keyedCall(c, key, "ring-7"), refuse), idempotency.NotRun, "", false)
		u := &countingUpstream{answer: answered("paid")}
		shouldAnswer(idem.Apply(keyedCall(c, key, "ring-7"), u.next), idempotency.Answered, "paid", false)
	})
	Convey("an unknown outcome stays unknown for every retry", t, func() {
		idem, c := newFilter(&fakeHosts{}, &fakeClaimer{})
		u := &countingUpstream{answer: call.Unknown(call.ReasonOutcomeUnknown)}
		key := ownKey(idem, "a")
		shouldAnswer(idem.Apply(keyedCall(c, key, "ring-7"), u.next), idempotency.OutcomeUnknown, "", false)
		So(idem.Apply(keyedCall(c, key, "ring-7"), u.next).Outcome, ShouldEqual, idempotency.OutcomeUnknown)
		So(u.runs.Load(), ShouldEqual, 1)
	})
}

func TestOtherHostsKeys(t *testing.T) {
	other := "0000000000000008-0-a"
	for name, status := range map[string]idempotency.HostStatus{"terminated": idempotency.Terminated, "unreachable": idempotency.Unreachable, "unknown": idempotency.NeverSeen} {
		Convey("a key of another incarnation that is "+name+" never runs on this host", t, func() {
			idem, c := newFilter(&fakeHosts{status: status}, &fakeClaimer{})
			u := &countingUpstream{answer: answered("paid")}
			So(idem.Apply(keyedCall(c, other, "ring-7"), u.next).Outcome, ShouldEqual, idempotency.OutcomeUnknown)
			So(u.runs.Load(), ShouldEqual, 0)
		})
	}
	Convey("a reachable host decides, and its answer is returned", t, func() {
		f := &fakeHosts{status: idempotency.Reachable, answer: answered("paid there")}
		idem, c := newFilter(f, &fakeClaimer{})
		u := &countingUpstream{}
		shouldAnswer(idem.Apply(keyedCall(c, other, "ring-7"), u.next), idempotency.Answered, "paid there", false)
		So(f.asked.Load(), ShouldEqual, 1)
		So(u.runs.Load(), ShouldEqual, 0)
	})
	Convey("a request that has no time left to be forwarded did not run in this try", t, func() {
		idem, c := newFilter(&fakeHosts{status: idempotency.Reachable, notSent: true, answer: call.NotRun("deadline", 0)}, &fakeClaimer{})
		retry := keyedCall(c, other, "ring-7")
		a := idem.Apply(retry, nil)
		So(a.Outcome, ShouldEqual, idempotency.NotRun)
		retry.Unanswered = true
		So(a.ForCaller(retry).Outcome, ShouldEqual, idempotency.OutcomeUnknown)
	})
	Convey("if a reachable host does not get the request, the outcome is unknown", t, func() {
		idem, c := newFilter(&fakeHosts{status: idempotency.Reachable, notSent: true, answer: call.Unknown("lost")}, &fakeClaimer{})
		u := &countingUpstream{}
		So(idem.Apply(keyedCall(c, other, "ring-7"), u.next).Outcome, ShouldEqual, idempotency.OutcomeUnknown)
		So(u.runs.Load(), ShouldEqual, 0)
	})
}

func TestClaimedKeys(t *testing.T) {
	Convey("a key that can't be claimed does not run", t, func() {
		idem, c := newFilter(&fakeHosts{}, &fakeClaimer{decision: idempotency.Decision{Verdict: idempotency.Refuse, Reply: idempotency.Reply{Reason: "platform_down", RetryAfter: 1000}}})
		u := &countingUpstream{answer: answered("paid")}
		a := idem.Apply(keyedCall(c, "plain-key", "ring-7"), u.next)
		shouldAnswer(a, idempotency.NotRun, "", false)
		So(a.RetryAfter, ShouldEqual, clock.Second)
		So(u.runs.Load(), ShouldEqual, 0)
	})
}

// claimantHost is a host that wrote a claim and then refused the request for lack
// of a slot.
type claimantHost struct{ filter *Idempotency }

func (f *claimantHost) LookupHost(uint64) (string, idempotency.HostStatus) {
	return "gh-1", idempotency.Reachable
}

// Decide passes the request to the claimant's filter, as the peer link does.
func (f *claimantHost) Decide(_ context.Context, _ string, c *call.Call) (call.Answer, bool) {
	return f.filter.Apply(c, nil), false
}

// rowClaimer writes claims to a single row that stands for the platform's table.
type rowClaimer struct {
	registry *LockedKeyRegistry
	row      *claimRow
}

type claimRow struct {
	value   string
	version uint64
}

func (f *rowClaimer) Claim(rec idempotency.RecordID) (d idempotency.Decision) {
	f.registry.WithLock(func(now clock.Millis, k *idempotency.KeyRegistry) {
		for _, w := range k.NextClaimWrites(now) {
			k.HandleClaimOutcome(now, w.Record, f.row.write(w))
		}
		d, _ = k.ClaimDecision(rec)
	})
	return d
}

func (f *rowClaimer) TakeOver(rec idempotency.RecordID) idempotency.Decision {
	f.registry.WithLock(func(now clock.Millis, k *idempotency.KeyRegistry) { k.TakeOver(now, rec) })
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
	Convey("a key whose claimant had no slot for it runs on the host that the retry reaches", t, func() {
		row := &claimRow{}
		c := &clock.Manual{}
		host := func(incarnation uint64, others Hosts) *Idempotency {
			k := &LockedKeyRegistry{Clock: c, Registry: &idempotency.KeyRegistry{Incarnation: incarnation}}
			return &Idempotency{Clock: c, Registry: k, Claimer: &rowClaimer{registry: k, row: row}, Hosts: others}
		}
		first := host(1, &fakeHosts{})
		second := host(2, &claimantHost{filter: first})
		full := func(*call.Call) call.Answer { return call.NotRun("overloaded", 10) }
		shouldAnswer(first.Apply(keyedCall(c, "plain-key", "ring-7"), full), idempotency.NotRun, "", false)
		u := &countingUpstream{answer: answered("paid")}
		shouldAnswer(second.Apply(keyedCall(c, "plain-key", "ring-7"), u.next), idempotency.Answered, "paid", false)
		So(u.runs.Load(), ShouldEqual, 1)
	})
}

func TestAnswerForCaller(t *testing.T) {
	down := &fakeClaimer{decision: idempotency.Decision{Verdict: idempotency.Refuse, Reply: idempotency.Reply{Reason: "platform_down"}}}
	Convey("a retry of a request that got no answer is reported as not run only if the record says so", t, func() {
		idem, c := newFilter(&fakeHosts{}, down)
		u := &countingUpstream{answer: answered("paid")}
		retry := keyedCall(c, "plain-key", "ring-7")
		So(idem.Apply(retry, u.next).ForCaller(retry).Outcome, ShouldEqual, idempotency.NotRun)
		retry.Unanswered = true
		So(idem.Apply(retry, u.next).ForCaller(retry).Outcome, ShouldEqual, idempotency.OutcomeUnknown)
	})
	Convey("the host that decides on a key knows that it never ran", t, func() {
		idem, c := newFilter(&fakeHosts{}, down)
		retry := keyedCall(c, ownKey(idem, "a"), "ring-7")
		retry.Unanswered = true
		refuse := func(*call.Call) call.Answer { return call.NotRun("overloaded", 100) }
		So(idem.Apply(retry, refuse).ForCaller(retry).Outcome, ShouldEqual, idempotency.NotRun)
	})
	Convey("a refusal before the key's record is consulted says nothing about an earlier try", t, func() {
		_, c := newFilter(&fakeHosts{}, down)
		retry := keyedCall(c, "plain-key", "ring-7")
		retry.Unanswered = true
		busy := &Admission{MaxInFlight: 0}
		So(busy.Apply(retry, nil).ForCaller(retry).Reason, ShouldEqual, call.ReasonEarlierSending)
	})
}

func TestFinalOutcomes(t *testing.T) {
	Convey("a not-run answer to a request that was marked as sent becomes an unknown outcome", t, func() {
		idem, c := newFilter(&fakeHosts{}, &fakeClaimer{})
		key := ownKey(idem, "a")
		sendThenRefuse := func(c *call.Call) call.Answer { c.MaySend(); return call.NotRun("overloaded", 100) }
		So(idem.Apply(keyedCall(c, key, "ring-7"), sendThenRefuse).Outcome, ShouldEqual, idempotency.OutcomeUnknown)
	})
	takenBy8 := idempotency.ClaimOutcome{Kind: idempotency.ClaimTaken, Version: 3, Value: `{"host":"gh-2","incarnation":8,"attempt":1,"organisation":"ring-7"}`}
	Convey("a request forwarded to the claimant ends with the claimant's answer, also for waiting requests", t, func() {
		f := &fakeHosts{status: idempotency.Reachable, answer: answered("paid there")}
		claims := &outcomeClaimer{outcome: takenBy8}
		idem, c := newFilter(f, claims)
		claims.registry = idem.Registry
		claims.before = func() {
			go idem.Apply(keyedCall(c, "plain", "ring-7"), nil)
			for !idem.Registry.hasWaiters() {
				runtime.Gosched()
			}
		}
		shouldAnswer(idem.Apply(keyedCall(c, "plain", "ring-7"), nil), idempotency.Answered, "paid there", false)
		So(idem.Registry.hasWaiters(), ShouldBeFalse)
	})
	Convey("if the claimant can't be reached, the outcome is unknown", t, func() {
		claims := &outcomeClaimer{outcome: takenBy8}
		idem, c := newFilter(&fakeHosts{status: idempotency.Terminated}, claims)
		claims.registry = idem.Registry
		So(idem.Apply(keyedCall(c, "plain", "ring-7"), nil).Outcome, ShouldEqual, idempotency.OutcomeUnknown)
	})
	Convey("an unknown outcome keeps its retry delay", t, func() {
		So(withStatus(idempotency.Reply{Outcome: idempotency.OutcomeUnknown, RetryAfter: 700}).RetryAfter, ShouldEqual, clock.Millis(700))
	})
}

// outcomeClaimer decides claims with a fixed outcome of the table service.
type outcomeClaimer struct {
	registry *LockedKeyRegistry
	before   func() // called before the claim's outcome arrives
	outcome  idempotency.ClaimOutcome
}

func (f *outcomeClaimer) Claim(rec idempotency.RecordID) (d idempotency.Decision) {
	if f.before != nil {
		f.before()
	}
	f.registry.WithLock(func(now clock.Millis, k *idempotency.KeyRegistry) {
		for _, w := range k.NextClaimWrites(now) {
			k.HandleClaimOutcome(now, w.Record, f.outcome)
		}
		d, _ = k.ClaimDecision(rec)
	})
	return d
}

func (f *outcomeClaimer) TakeOver(rec idempotency.RecordID) idempotency.Decision { return f.Claim(rec) }

func (k *LockedKeyRegistry) hasWaiters() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.waiting) > 0
}
