package claim

import (
	"context"
	"sync"
	"testing"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
	"siskinpath/core/idempotency"
	"siskinpath/siskinpathd/platform"
)

// lockedRegistry implements KeyRegistry.
type lockedRegistry struct {
	mu       sync.Mutex
	clock    clock.Clock
	registry idempotency.KeyRegistry
	deadline clock.Millis // of each request
}

func (k *lockedRegistry) WithLock(f func(now clock.Millis, r *idempotency.KeyRegistry)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f(k.clock.Now(), &k.registry)
}

func (k *lockedRegistry) begin(key string) (rec idempotency.RecordID) {
	k.WithLock(func(now clock.Millis, r *idempotency.KeyRegistry) {
		d := r.Begin(now, idempotency.Request{Service: "payments", Organisation: "ring-7", Key: key, Deadline: now + k.deadline}, noHost)
		So(d.Verdict, ShouldEqual, idempotency.Claim)
		rec = d.Record
	})
	return rec
}

func noHost(uint64) (string, idempotency.HostStatus) { return "", idempotency.Terminated }

// fakeTable is an in-memory table service whose writes can fail, block or lose their
// replies.
type fakeTable struct {
	mu     sync.Mutex
	rows   map[string]platform.Row
	err    error // returned by each write; if it is Lost, the write was applied
	hold   chan struct{}
	writes int
}

func (f *fakeTable) Transact(_ context.Context, t platform.Transaction) (result platform.Result, err error) {
	if f.hold != nil {
		<-f.hold
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes++
	if f.err != nil && !platform.OutcomeUnknown(f.err) {
		return result, f.err
	}
	for _, c := range t.Checks {
		if f.rows[c.Key].Version != c.Version {
			result.Rows = append(result.Rows, f.rows[c.Key])
		}
	}
	if len(result.Rows) > 0 {
		return result, &platform.Error{Kind: platform.Conflict, Cause: errors.New("check")}
	}
	for _, p := range t.Puts {
		f.rows[p.Key] = platform.Row{Key: p.Key, Value: p.Value, Version: f.rows[p.Key].Version + 1}
	}
	return platform.Result{Committed: true}, f.err
}

func (f *fakeTable) Read(_ context.Context, keys ...string) (rows []platform.Row, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, key := range keys {
		row := f.rows[key]
		row.Key = key
		rows = append(rows, row)
	}
	return rows, nil
}

func startCommitter(t *fakeTable) (*Committer, *lockedRegistry) {
	if t.rows == nil {
		t.rows = map[string]platform.Row{}
	}
	k := &lockedRegistry{clock: clock.NewSystem(), registry: idempotency.KeyRegistry{Incarnation: 7, Host: "gh-1"}, deadline: clock.Minute}
	c := New(k, t)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { c.Run(ctx); close(ended) }()
	Reset(func() {
		cancel()
		<-ended
	})
	return c, k
}

func shouldDecide(t *fakeTable, verdict idempotency.Verdict, reason string) {
	c, k := startCommitter(t)
	d := c.Claim(k.begin("k"))
	So(d.Verdict, ShouldEqual, verdict)
	So(d.Reply.Reason, ShouldEqual, reason)
}

func TestClaim(t *testing.T) {
	key := idempotency.RowKey("payments", "ring-7", "k")
	Convey("a request whose claim is committed may run", t, func() { shouldDecide(&fakeTable{}, idempotency.Run, "") })
	Convey("a claim whose reply is lost is read back, and its request may run", t, func() {
		shouldDecide(&fakeTable{err: &platform.Error{Kind: platform.ConnectionLost, Cause: errors.New("cut")}}, idempotency.Run, "")
	})
	Convey("if the platform refuses connections, nothing runs and the answer comes at once", t, func() {
		shouldDecide(&fakeTable{err: &platform.Error{Kind: platform.NotApplied, Cause: errors.New("refused")}}, idempotency.Refuse, idempotency.ReasonPlatformDown)
	})
	Convey("a platform known to be unreachable is not called", t, func() {
		f := &fakeTable{hold: make(chan struct{})}
		c, k := startCommitter(f)
		c.Reachable = func() bool { return false }
		d := c.Claim(k.begin("k"))
		So(d.Verdict, ShouldEqual, idempotency.Refuse)
		So(d.Reply.Reason, ShouldEqual, idempotency.ReasonPlatformDown)
		So(f.writes, ShouldEqual, 0)
	})
	Convey("a key claimed by a host that has terminated may have run", t, func() {
		row := platform.Row{Key: key, Version: 1, Value: `{"host":"gh-2","incarnation":8,"attempt":1,"organisation":"ring-7"}`}
		shouldDecide(&fakeTable{rows: map[string]platform.Row{key: row}}, idempotency.Unknown, idempotency.ReasonHostGone)
	})
	Convey("a claim whose deadline passes while the platform hangs is refused", t, func() {
		f := &fakeTable{hold: make(chan struct{})}
		Reset(func() { close(f.hold) })
		c, k := startCommitter(f)
		k.deadline = 50
		d := c.Claim(k.begin("k"))
		So(d.Verdict, ShouldEqual, idempotency.Refuse)
		So(d.Reply.Reason, ShouldEqual, idempotency.ReasonDeadline)
	})
	Convey("concurrent claims share transactions, and one that is taken does not delay the others", t, func() {
		taken := idempotency.RowKey("payments", "ring-7", "k0")
		f := &fakeTable{hold: make(chan struct{}), rows: map[string]platform.Row{
			taken: {Key: taken, Version: 1, Value: `{"host":"gh-2","incarnation":8,"attempt":1,"organisation":"ring-7"}`}}}
		c, k := startCommitter(f)
		const claims = 20
		decided := make(chan idempotency.Verdict, claims)
		first := k.begin("first")
		go func() { decided <- c.Claim(first).Verdict }()
		var recs []idempotency.RecordID
		for i := range claims - 1 {
			recs = append(recs, k.begin("k"+string(rune('0'+i))))
		}
		for _, rec := range recs {
			go func() { decided <- c.Claim(rec).Verdict }()
		}
		close(f.hold)
		counts := map[idempotency.Verdict]int{}
		for range claims {
			counts[<-decided]++
		}
		So(counts, ShouldResemble, map[idempotency.Verdict]int{idempotency.Run: claims - 1, idempotency.Unknown: 1})
		So(f.writes, ShouldBeLessThan, claims)
	})
}
