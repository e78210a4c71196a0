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
)

// fakeSource is an in-memory Source.
type fakeSource struct {
	mu       sync.Mutex
	rows     map[string]Row
	version  int64
	history  int64 // version up to which changes are discarded
	down     bool
	reads    int  // full reads
	changes  int  // reads of changes
	disabled bool // the watcher is disabled
}

func (f *fakeSource) put(key, value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.rows[key] = Row{Key: key, Value: []byte(value), Version: f.version}
}

func (f *fakeSource) remove(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.rows[key] = Row{Key: key, Removed: true, Version: f.version}
}

func (f *fakeSource) locked(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
}

var errDown = errors.New("down")

func (f *fakeSource) Snapshot(context.Context) (rows []Row, version int64, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if f.down {
		return nil, 0, errDown
	}
	for _, r := range f.rows {
		if !r.Removed {
			rows = append(rows, r)
		}
	}
	return rows, f.version, nil
}

func (f *fakeSource) Changes(_ context.Context, after int64, wait clock.Millis) (rows []Row, version int64, err error) {
	end := time.Now().Add(wait.Duration())
	for {
		f.mu.Lock()
		switch {
		case f.down:
			err = errDown
		case after < f.history:
			err = ErrHistoryGone
		}
		for _, r := range f.rows {
			if r.Version > after {
				rows = append(rows, r)
			}
		}
		version = f.version
		f.mu.Unlock()
		if err != nil || len(rows) > 0 || time.Now().After(end) {
			f.locked(func() { f.changes++ })
			return rows, version, err
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
		Name: "t", Source: f, Log: rep.table.Log, Version: rep.table.Version, Merge: rep.table.Merge,
		Enabled:       func() bool { f.mu.Lock(); defer f.mu.Unlock(); return !f.disabled },
		BatchInterval: 1, LongPollTimeout: 20, RetryDelay: 1, MaxRetryDelay: 5,
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
		Convey("keeps the known rows while the store is down, and catches up", func() {
			f.locked(func() { f.down = true })
			f.remove("b")
			time.Sleep(30 * time.Millisecond)
			shouldHaveRows(rep, map[string]string{"a": "1", "b": "2"})
			f.locked(func() { f.down = false })
			shouldHaveRows(rep, map[string]string{"a": "1"})
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

func TestTable(t *testing.T) {
	Convey("a table known up to version 10", t, func() {
		rep := &replica{rows: map[string]string{}}
		tb := &Table[string]{Name: "t", Log: slog.New(slog.DiscardHandler), Decode: decodeText, Apply: rep.apply}
		So(tb.Merge(Update{Version: 10, Full: true, Rows: []Row{{Key: "a", Value: []byte("1"), Version: 3}, {Key: "b", Value: []byte("2"), Version: 9}}}), ShouldBeTrue)
		Convey("ignores updates that are not newer", func() {
			So(tb.Merge(Update{Version: 9, Full: true}), ShouldBeTrue)
			So(tb.Merge(Update{Version: 10, Base: 5, Rows: []Row{{Key: "a", Removed: true, Version: 8}}}), ShouldBeTrue)
			So(rep.rows, ShouldHaveLength, 2)
		})
		Convey("rejects an update that leaves a gap", func() {
			So(tb.Merge(Update{Version: 14, Base: 12, Rows: []Row{{Key: "a", Removed: true, Version: 13}}}), ShouldBeFalse)
			So(rep.rows, ShouldHaveLength, 2)
		})
		Convey("applies an update once that other hosts send twice", func() {
			u := Update{Version: 12, Base: 10, Rows: []Row{{Key: "b", Removed: true, Version: 11}}}
			So(tb.Merge(u), ShouldBeTrue)
			So(tb.Merge(u), ShouldBeTrue)
			So(rep.rows, ShouldHaveLength, 1)
		})
		Convey("returns only the changes that another host lacks", func() {
			tb.Merge(Update{Version: 12, Base: 10, Rows: []Row{{Key: "b", Removed: true, Version: 11}, {Key: "c", Value: []byte("3"), Version: 12}}})
			u, ok := tb.ChangesSince(10)
			So(ok, ShouldBeTrue)
			So(u.Full, ShouldBeFalse)
			So(u.Rows, ShouldHaveLength, 2)
			u, _ = tb.ChangesSince(9)
			So(u.Full, ShouldBeTrue)
			So(u.Rows, ShouldHaveLength, 2)
		})
		Convey("records rows missing from a full read as removed", func() {
			So(tb.Merge(Update{Version: 20, Full: true, Rows: []Row{{Key: "a", Value: []byte("1"), Version: 3}}}), ShouldBeTrue)
			u, _ := tb.ChangesSince(10)
			So(u.Full, ShouldBeFalse)
			So(u.Rows, ShouldResemble, []Row{{Key: "b", Removed: true, Missing: true, Version: 20}})
		})
	})
}
