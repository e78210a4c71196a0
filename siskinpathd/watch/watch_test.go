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

// fakeSource is a table of a store in memory.
type fakeSource struct {
	mu       sync.Mutex
	rows     map[string]Row
	version  int64
	history  int64 // changes up to here are forgotten
	down     bool
	whole    int
	changes  int
	unneeded bool
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

func (f *fakeSource) with(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
}

var errDown = errors.New("down")

func (f *fakeSource) Snapshot(context.Context) (rows []Row, version int64, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.whole++
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
			f.with(func() { f.changes++ })
			return rows, version, err
		}
		time.Sleep(time.Millisecond)
	}
}

// follower is a table that a watcher keeps up to date, with what it applied.
type follower struct {
	mu    sync.Mutex
	rows  map[string]string
	table *Table[string]
}

func follow(t *testing.T, f *fakeSource) *follower {
	fl := &follower{rows: map[string]string{}}
	fl.table = &Table[string]{Name: "t", Log: slog.New(slog.DiscardHandler), Decode: decodeText, Apply: fl.apply}
	w := &Watcher{
		Name: "t", Source: f, Log: fl.table.Log, Version: fl.table.Version, Merge: fl.table.Merge,
		Enabled:       func() bool { f.mu.Lock(); defer f.mu.Unlock(); return !f.unneeded },
		BatchInterval: 1, LongPollTimeout: 20, RetryDelay: 1, MaxRetryDelay: 5,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { w.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return fl
}

func decodeText(_ string, b []byte) (string, error) {
	if string(b) == "broken" {
		return "", errors.New("broken")
	}
	return string(b), nil
}

func (fl *follower) apply(rows []DecodedRow[string]) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, r := range rows {
		if r.Removed || r.DecodeErr != nil {
			delete(fl.rows, r.Key)
		} else {
			fl.rows[r.Key] = r.Value
		}
	}
}

func shouldHold(fl *follower, want map[string]string) {
	end := time.Now().Add(10 * time.Second)
	for {
		fl.mu.Lock()
		same := len(fl.rows) == len(want)
		for k, v := range want {
			same = same && fl.rows[k] == v
		}
		got := len(fl.rows)
		fl.mu.Unlock()
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
		fl := follow(t, f)
		shouldHold(fl, map[string]string{"a": "1", "b": "2"})
		Convey("follows changes, removals and rows that can't be read", func() {
			f.put("a", "3")
			f.remove("b")
			f.put("c", "broken")
			shouldHold(fl, map[string]string{"a": "3"})
		})
		Convey("reads whole when the history is gone", func() {
			f.with(func() { f.history = f.version + 1 })
			f.remove("b")
			f.with(func() { f.history = f.version })
			shouldHold(fl, map[string]string{"a": "1"})
		})
		Convey("holds what it knows while the store is down, and catches up", func() {
			f.with(func() { f.down = true })
			f.remove("b")
			time.Sleep(30 * time.Millisecond)
			shouldHold(fl, map[string]string{"a": "1", "b": "2"})
			f.with(func() { f.down = false })
			shouldHold(fl, map[string]string{"a": "1"})
		})
		Convey("makes no call while it is not needed", func() {
			f.with(func() { f.unneeded = true })
			time.Sleep(60 * time.Millisecond)
			var before, after int
			f.with(func() { before = f.changes })
			time.Sleep(100 * time.Millisecond)
			f.with(func() { after = f.changes })
			So(after, ShouldEqual, before)
		})
	})
}

func TestTable(t *testing.T) {
	Convey("a table known up to version 10", t, func() {
		fl := &follower{rows: map[string]string{}}
		tb := &Table[string]{Name: "t", Log: slog.New(slog.DiscardHandler), Decode: decodeText, Apply: fl.apply}
		So(tb.Merge(Update{Version: 10, Full: true, Rows: []Row{{Key: "a", Value: []byte("1"), Version: 3}, {Key: "b", Value: []byte("2"), Version: 9}}}), ShouldBeTrue)
		Convey("passes over what is older", func() {
			So(tb.Merge(Update{Version: 9, Full: true}), ShouldBeTrue)
			So(tb.Merge(Update{Version: 10, Base: 5, Rows: []Row{{Key: "a", Removed: true, Version: 8}}}), ShouldBeTrue)
			So(fl.rows, ShouldHaveLength, 2)
		})
		Convey("refuses a change that leaves a gap", func() {
			So(tb.Merge(Update{Version: 14, Base: 12, Rows: []Row{{Key: "a", Removed: true, Version: 13}}}), ShouldBeFalse)
			So(fl.rows, ShouldHaveLength, 2)
		})
		Convey("takes what another host tells twice once", func() {
			u := Update{Version: 12, Base: 10, Rows: []Row{{Key: "b", Removed: true, Version: 11}}}
			So(tb.Merge(u), ShouldBeTrue)
			So(tb.Merge(u), ShouldBeTrue)
			So(fl.rows, ShouldHaveLength, 1)
		})
		Convey("tells another host only what it lacks", func() {
			tb.Merge(Update{Version: 12, Base: 10, Rows: []Row{{Key: "b", Removed: true, Version: 11}, {Key: "c", Value: []byte("3"), Version: 12}}})
			u, ok := tb.ChangesSince(10)
			So(ok, ShouldBeTrue)
			So(u.Full, ShouldBeFalse)
			So(u.Rows, ShouldHaveLength, 2)
			u, _ = tb.ChangesSince(9)
			So(u.Full, ShouldBeTrue)
			So(u.Rows, ShouldHaveLength, 2)
		})
		Convey("takes a whole read as the changes that it shows", func() {
			So(tb.Merge(Update{Version: 20, Full: true, Rows: []Row{{Key: "a", Value: []byte("1"), Version: 3}}}), ShouldBeTrue)
			u, _ := tb.ChangesSince(10)
			So(u.Full, ShouldBeFalse)
			So(u.Rows, ShouldResemble, []Row{{Key: "b", Removed: true, Missing: true, Version: 20}})
		})
	})
}
