// Package watch follows tables of the platform's store: a whole read first, then
// changes as they come, taken up in batches so that a burst of changes costs a
// few calls.
package watch

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"siskinpath/core/clock"
)

// ErrHistoryGone says that the changes asked for are no longer kept: the table
// has to be read whole.
var ErrHistoryGone = errors.New("the store no longer has these changes")

// Row is a row of a table with its decoded value.
type Row[T any] struct {
	Key     string
	Value   T
	Removed bool
	// Fault says why the value could not be decoded. Value is not set then.
	Fault   error
	Version int64
}

// Source is a table of the store.
type Source[T any] interface {
	// Snapshot reads all rows as of one version.
	Snapshot(ctx context.Context) (rows []Row[T], version int64, err error)
	// Changes returns the rows changed after a version, as soon as there is one
	// and with none after wait. It fails with ErrHistoryGone when it can't know.
	Changes(ctx context.Context, after int64, wait clock.Millis) (rows []Row[T], version int64, err error)
}

// Watcher follows one table. Set the fields before Run.
type Watcher[T any] struct {
	Name   string // for log lines
	Source Source[T]
	Clock  clock.Clock
	Log    *slog.Logger
	// Batch is how long changes gather before they are asked for again.
	Batch clock.Millis
	// Wait is how long the store holds an answer back while nothing changes.
	Wait clock.Millis
	// Retry is the pause after the first failed call; it doubles up to MostRetry.
	Retry     clock.Millis
	MostRetry clock.Millis
	// Apply takes in rows; with whole, they are all that the table holds.
	Apply func(rows []Row[T], whole bool)
	// Lost and Regained are told when calls begin to fail, each failure, and when
	// they work again. Nil ignores it.
	Lost     func(err error)
	Regained func()

	version  int64
	failures int
}

// Run follows the table until ctx ends.
func (w *Watcher[T]) Run(ctx context.Context) {
	whole := true
	for ctx.Err() == nil {
		n, err := w.step(ctx, whole)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistoryGone):
			w.Log.Info("history gone, reading whole", "table", w.Name, "after", w.version)
			whole = true
		case err != nil:
			w.fail(ctx, err)
			// After an outage the store may have dropped rows that are not in its
			// changes, and a whole read costs the same single call.
			whole = true
		default:
			w.succeed()
			whole = false
			if n > 0 {
				pause(ctx, w.Batch)
			}
		}
	}
}

// step makes one call and takes in what it brings.
func (w *Watcher[T]) step(ctx context.Context, whole bool) (n int, err error) {
	var rows []Row[T]
	var version int64
	if whole {
		rows, version, err = w.Source.Snapshot(ctx)
	} else {
		rows, version, err = w.Source.Changes(ctx, w.version, w.Wait)
	}
	if err != nil {
		return 0, err
	}
	for _, r := range rows {
		if r.Fault != nil {
			w.Log.Warn("row can't be read", "table", w.Name, "key", r.Key, "version", r.Version, "err", r.Fault)
		}
	}
	w.version = version
	if whole || len(rows) > 0 {
		w.Apply(rows, whole)
	}
	return len(rows), nil
}

func (w *Watcher[T]) fail(ctx context.Context, err error) {
	w.failures++
	if w.failures == 1 {
		w.Log.Warn("store lost", "table", w.Name, "err", err)
	}
	if w.Lost != nil {
		w.Lost(err)
	}
	pause(ctx, min(w.MostRetry, w.Retry<<min(w.failures-1, 6)))
}

func (w *Watcher[T]) succeed() {
	if w.failures == 0 {
		return
	}
	w.Log.Info("store regained", "table", w.Name, "failed_calls", w.failures)
	w.failures = 0
	if w.Regained != nil {
		w.Regained()
	}
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d clock.Millis) {
	t := time.NewTimer(d.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
