package watch

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
	"siskinpath/core/revision"
)

// at returns a revision of the first era.
func at(version int64) revision.Revision { return revision.Revision{Version: version} }

// atEra returns a revision of a later era.
func atEra(era, version int64) revision.Revision {
	return revision.Revision{Era: era, Version: version}
}

// fakeSource is an in-memory Source.
type fakeSource struct {
	mu       sync.Mutex
	rows     map[string]Row
	era      int64
	version  int64
	history  int64 // version up to which changes are discarded
	down     bool
	reads    int  // full reads
	changes  int  // reads of changes
	disabled bool // the watcher is disabled
	hasty    bool // answers at once that nothing has changed
}

func (f *fakeSource) put(key, value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.rows[key] = Row{Key: key, Value: []byte(value), Revision: atEra(f.era, f.version)}
}

func (f *fakeSource) remove(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.rows[key] = Row{Key: key, Removed: true, Revision: atEra(f.era, f.version)}
}

func (f *fakeSource) locked(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
}

var errDown = errors.New("down")

func (f *fakeSource) Snapshot(context.Context) (rows []Row, at revision.Revision, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if f.down {
		return nil, at, errDown
	}
	for _, r := range f.rows {
		if !r.Removed {
			rows = append(rows, r)
		}
	}
	return rows, atEra(f.era, f.version), nil
}

func (f *fakeSource) Changes(_ context.Context, after revision.Revision, wait clock.Millis) (rows []Row, at revision.Revision, err error) {
	end := time.Now().Add(wait.Duration())
	for {
		f.mu.Lock()
		switch {
		case f.down:
			err = errDown
		case after.Version < f.history || after.Era != f.era:
			err = ErrHistoryGone
		}
		for _, r := range f.rows {
			if after.Before(r.Revision) {
				rows = append(rows, r)
			}
		}
		at = atEra(f.era, f.version)
		hasty := f.hasty
		f.mu.Unlock()
		if err != nil || len(rows) > 0 || hasty || time.Now().After(end) {
			f.locked(func() { f.changes++ })
			return rows, at, err
		}
		time.Sleep(time.Millisecond)
	}
}

// replica is a table that a watcher keeps up to date, with the rows applied to it.
type replica struct {
	mu    sync.Mutex
	rows  map[string]string
	table *Table[string]
}

func startWatcher(t *testing.T, f *fakeSource) *replica {
	rep := &replica{rows: map[string]string{}}
	rep.table = &Table[string]{Name: "t", Log: slog.New(slog.DiscardHandler), Decode: decodeText, Apply: rep.apply}
	w := &Watcher{
		Name: "t", Source: f, Log: rep.table.Log, Revision: rep.table.Revision, Merge: rep.table.Merge,
		Enabled: func() bool { f.mu.Lock(); defer f.mu.Unlock(); return !f.disabled },
		Clock:   clock.NewSystem(), Boot: clock.Boot{}, Confirm: func(_, _ clock.Millis) {},
		BatchInterval: 1, PollInterval: 20, ResponseMargin: 1000, RetryDelay: 1, MaxRetryDelay: 5,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { w.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return rep
}

func decodeText(_ string, b []byte) (string, error) {
	if string(b) == "broken" {
		return "", errors.New("broken")
	}
	return string(b), nil
}

func (rep *replica) apply(rows []DecodedRow[string]) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	for _, r := range rows {
		if r.Removed || r.DecodeErr != nil {
			delete(rep.rows, r.Key)
		} else {
			rep.rows[r.Key] = r.Value
		}
	}
}

func shouldHaveRows(rep *replica, want map[string]string) {
	end := time.Now().Add(10 * time.Second)
	for {
		rep.mu.Lock()
		same := len(rep.rows) == len(want)
		for k, v := range want {
			same = same && rep.rows[k] == v
		}
		got := len(rep.rows)
		rep.mu.Unlock()
		if same || time.Now().After(end) {
			So(same, ShouldBeTrue)
			So(got, ShouldEqual, len(want))
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func TestWatcher(t *testing.T) {
	Convey("a watcher of a table with two rows", t, func() {
		f := &fakeSource{rows: map[string]Row{}}
		f.put("a", "1")
		f.put("b", "2")
		rep := startWatcher(t, f)
		shouldHaveRows(rep, map[string]string{"a": "1", "b": "2"})
		Convey("follows changes, removals and rows that can't be read", func() {
			f.put("a", "3")
			f.remove("b")
			f.put("c", "broken")
			shouldHaveRows(rep, map[string]string{"a": "3"})
		})
		Convey("reads the full table when the history is gone", func() {
			f.locked(func() { f.history = f.version + 1 })
			f.remove("b")
			f.locked(func() { f.history = f.version })
			shouldHaveRows(rep, map[string]string{"a": "1"})
		})
		Convey("does not ask again and again when the store holds no call", func() {
			f.locked(func() { f.hasty, f.changes = true, 0 })
			time.Sleep(100 * time.Millisecond)
			f.locked(func() { So(f.changes, ShouldBeBetweenOrEqual, 2, 150) })
			f.put("c", "3")
			shouldHaveRows(rep, map[string]string{"a": "1", "b": "2", "c": "3"})
		})
		Convey("keeps the known rows while the store is down, and catches up", func() {
			f.locked(func() { f.down = true })
			f.remove("b")
			time.Sleep(30 * time.Millisecond)
			shouldHaveRows(rep, map[string]string{"a": "1", "b": "2"})
			f.locked(func() { f.down = false })
			shouldHaveRows(rep, map[string]string{"a": "1"})
		})
		Convey("follows a store that comes back from an older copy, with lower versions", func() {
			f.put("c", "3")
			shouldHaveRows(rep, map[string]string{"a": "1", "b": "2", "c": "3"})
			f.locked(func() {
				f.era, f.version = 1, 2
				delete(f.rows, "c")
				for key, r := range f.rows {
					r.Revision.Era = 1
					f.rows[key] = r
				}
			})
			shouldHaveRows(rep, map[string]string{"a": "1", "b": "2"})
			f.put("d", "4")
			shouldHaveRows(rep, map[string]string{"a": "1", "b": "2", "d": "4"})
		})
		Convey("makes no call while it is disabled", func() {
			f.locked(func() { f.disabled = true })
			time.Sleep(60 * time.Millisecond)
			var before, after int
			f.locked(func() { before = f.changes })
			time.Sleep(100 * time.Millisecond)
			f.locked(func() { after = f.changes })
			So(after, ShouldEqual, before)
		})
	})
}

// lateSource is a store whose answers take some time by a boot clock.
type lateSource struct {
	*fakeSource
	boot *clock.Manual
}

func (l *lateSource) Snapshot(ctx context.Context) ([]Row, revision.Revision, error) {
	l.boot.Advance(3000)
	return l.fakeSource.Snapshot(ctx)
}

func (l *lateSource) Changes(ctx context.Context, after revision.Revision, _ clock.Millis) ([]Row, revision.Revision, error) {
	l.boot.Advance(2000)
	return l.fakeSource.Changes(ctx, after, 0)
}

// TestConfirmsStart guards against taking the answer to a call for proof of a later time than
// the start of the call: the store may have made up the answer long before it arrives.
func TestConfirmsStart(t *testing.T) {
	Convey("a watcher confirms the start of each call, however late its answer is", t, func() {
		f := &lateSource{fakeSource: &fakeSource{rows: map[string]Row{}}, boot: &clock.Manual{}}
		f.put("a", "1")
		rep := &replica{rows: map[string]string{}}
		rep.table = &Table[string]{Name: "t", Log: slog.New(slog.DiscardHandler), Decode: decodeText, Apply: rep.apply}
		var starts []clock.Millis
		w := &Watcher{
			Name: "t", Source: f, Log: rep.table.Log, Revision: rep.table.Revision, Merge: rep.table.Merge, Clock: clock.NewSystem(), Boot: f.boot,
			Confirm: func(_, started clock.Millis) { starts = append(starts, started) },
		}
		f.boot.Advance(100)
		_, err := w.poll(context.Background(), true, 0)
		So(err, ShouldBeNil)
		w.ResponseMargin = 1000
		_, err = w.poll(context.Background(), false, 500)
		So(err, ShouldBeNil)
		So(starts, ShouldResemble, []clock.Millis{100, 3100})
	})
}

func TestTable(t *testing.T) {
	Convey("a table known up to version 10", t, func() {
		rep := &replica{rows: map[string]string{}}
		tb := &Table[string]{Name: "t", Log: slog.New(slog.DiscardHandler), Decode: decodeText, Apply: rep.apply}
		So(tb.Merge(Update{Revision: at(10), Full: true, Rows: []Row{{Key: "a", Value: []byte("1"), Revision: at(3)}, {Key: "b", Value: []byte("2"), Revision: at(9)}}}), ShouldBeTrue)
		Convey("ignores updates that are not newer", func() {
			So(tb.Merge(Update{Revision: at(9), Full: true}), ShouldBeTrue)
			So(tb.Merge(Update{Revision: at(10), Base: at(5), Rows: []Row{{Key: "a", Removed: true, Revision: at(8)}}}), ShouldBeTrue)
			So(rep.rows, ShouldHaveLength, 2)
		})
		Convey("rejects an update that leaves a gap", func() {
			So(tb.Merge(Update{Revision: at(14), Base: at(12), Rows: []Row{{Key: "a", Removed: true, Revision: at(13)}}}), ShouldBeFalse)
			So(rep.rows, ShouldHaveLength, 2)
		})
		Convey("applies an update once that other hosts send twice", func() {
			u := Update{Revision: at(12), Base: at(10), Rows: []Row{{Key: "b", Removed: true, Revision: at(11)}}}
			So(tb.Merge(u), ShouldBeTrue)
			So(tb.Merge(u), ShouldBeTrue)
			So(rep.rows, ShouldHaveLength, 1)
		})
		Convey("applies a row that is written again with the same value", func() {
			applied := 0
			tb.Apply = func(rows []DecodedRow[string]) { applied += len(rows) }
			So(tb.Merge(Update{Revision: at(12), Base: at(10), Rows: []Row{{Key: "b", Value: []byte("2"), Revision: at(11)}}}), ShouldBeTrue)
			So(applied, ShouldEqual, 1)
		})
		Convey("returns only the changes that another host lacks", func() {
			tb.Merge(Update{Revision: at(12), Base: at(10), Rows: []Row{{Key: "b", Removed: true, Revision: at(11)}, {Key: "c", Value: []byte("3"), Revision: at(12)}}})
			u, ok := tb.ChangesSince(at(10))
			So(ok, ShouldBeTrue)
			So(u.Full, ShouldBeFalse)
			So(u.Rows, ShouldHaveLength, 2)
			u, _ = tb.ChangesSince(at(9))
			So(u.Full, ShouldBeTrue)
			So(u.Rows, ShouldHaveLength, 2)
		})
		Convey("in a new era", func() {
			var from, to revision.Revision
			announced := revision.Revision{}
			tb.OnNewEra = func(before, after revision.Revision) { from, to = before, after }
			tb.OnChange = func(at revision.Revision) { announced = at }
			So(tb.Merge(Update{Revision: atEra(1, 6), Full: true, Rows: []Row{{Key: "a", Value: []byte("1"), Revision: atEra(1, 3)}}}), ShouldBeTrue)
			Convey("takes the content of lower versions and records what it lacks as missing", func() {
				So(rep.rows, ShouldResemble, map[string]string{"a": "1"})
				So(from, ShouldResemble, at(10))
				So(to, ShouldResemble, atEra(1, 6))
			})
			Convey("announces the era also if no row differs", func() {
				So(tb.Merge(Update{Revision: atEra(2, 4), Full: true, Rows: []Row{{Key: "a", Value: []byte("1"), Revision: atEra(2, 3)}}}), ShouldBeTrue)
				So(announced, ShouldResemble, atEra(2, 4))
			})
			Convey("ignores what comes late of the old era", func() {
				So(tb.Merge(Update{Revision: at(12), Base: at(10), Rows: []Row{{Key: "b", Value: []byte("5"), Revision: at(12)}}}), ShouldBeTrue)
				So(rep.rows, ShouldResemble, map[string]string{"a": "1"})
			})
			Convey("sends the full content to a host of the old era, and changes to one of the new", func() {
				tb.Merge(Update{Revision: atEra(1, 8), Base: atEra(1, 6), Rows: []Row{{Key: "c", Value: []byte("3"), Revision: atEra(1, 8)}}})
				u, _ := tb.ChangesSince(at(11))
				So(u.Full, ShouldBeTrue)
				So(u.Rows, ShouldHaveLength, 2)
				u, _ = tb.ChangesSince(atEra(1, 6))
				So(u.Full, ShouldBeFalse)
				So(u.Rows, ShouldHaveLength, 1)
			})
		})
		Convey("rejects changes that start in another era", func() {
			So(tb.Merge(Update{Revision: atEra(1, 12), Base: at(10), Rows: []Row{{Key: "c", Value: []byte("3"), Revision: atEra(1, 12)}}}), ShouldBeFalse)
		})
		Convey("records rows missing from a full read as removed", func() {
			So(tb.Merge(Update{Revision: at(20), Full: true, Rows: []Row{{Key: "a", Value: []byte("1"), Revision: at(3)}}}), ShouldBeTrue)
			u, _ := tb.ChangesSince(at(10))
			So(u.Full, ShouldBeFalse)
			So(u.Rows, ShouldResemble, []Row{{Key: "b", Removed: true, Missing: true, Revision: at(20)}})
		})
	})
}
