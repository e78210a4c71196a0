// Package watch follows tables of the platform's store: a whole read first, then
// changes as they come, taken up in batches so that a burst of changes costs a
// few calls. What is known may come from other hosts as well.
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

// Source is a table of the store.
type Source interface {
	// Snapshot reads all rows as of one version.
	Snapshot(ctx context.Context) (rows []Row, version int64, err error)
	// Changes returns the rows changed after a version, as soon as there is one
	// and with none after wait. It fails with ErrHistoryGone when it can't know.
	Changes(ctx context.Context, after int64, wait clock.Millis) (rows []Row, version int64, err error)
}

// Watcher follows one table while it is needed. Set the fields before Run.
type Watcher struct {
	Name   string // for log lines
	Source Source
	Log    *slog.Logger
	// Version returns the version up to which the table is known.
	Version func() (version int64, known bool)
	// Merge takes in what was read.
	Merge func(u Update) bool
	// Enabled tells whether this host has to follow the store itself. Nil means
	// always.
	Enabled func() bool
	// BatchInterval is how long changes gather before they are asked for again.
	BatchInterval clock.Millis
	// LongPollTimeout is how long the store holds an answer back while nothing changes.
	LongPollTimeout clock.Millis
	// RetryDelay is the pause after the first failed call; it doubles up to MostRetry.
	RetryDelay    clock.Millis
	MaxRetryDelay clock.Millis
	// OnFailure is told of each failed call. Nil ignores it.
	OnFailure func(err error)
	// OnRecovery is told of the first call that works after failures. Nil ignores it.
	OnRecovery func()

	failures int
}

const (
	// needPoll is how often a watcher that is not needed looks whether it is.
	needPoll = 100 * clock.Millisecond
	// firstPoll is the same until the table is known.
	firstPoll = 10 * clock.Millisecond
)

// Run follows the table until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	whole := true
	for ctx.Err() == nil {
		if w.Enabled != nil && !w.Enabled() {
			poll := needPoll
			if _, known := w.Version(); !known {
				poll = firstPoll
			}
			pause(ctx, poll)
			continue
		}
		n, err := w.step(ctx, whole)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistoryGone):
			w.Log.Info("history gone, reading whole", "table", w.Name)
			whole = true
		case err != nil:
			w.fail(ctx, err)
			// After an outage rows may be missing that no change tells of, and a
			// whole read costs the same single call.
			whole = true
		default:
			w.succeed()
			whole = false
			if n > 0 {
				pause(ctx, w.BatchInterval)
			}
		}
	}
}

// step makes one call and takes in what it brings.
func (w *Watcher) step(ctx context.Context, whole bool) (n int, err error) {
	u := Update{Table: w.Name, Full: whole}
	after, known := w.Version()
	if whole || !known {
		u.Full = true
		u.Rows, u.Version, err = w.Source.Snapshot(ctx)
	} else {
		u.Rows, u.Version, err = w.Source.Changes(ctx, after, w.LongPollTimeout)
	}
	if err != nil {
		return 0, err
	}
	u.Base = after
	if !w.Merge(u) {
		return 0, errors.Errorf("changes after version %d can't be joined to what is known", after)
	}
	return len(u.Rows), nil
}

func (w *Watcher) fail(ctx context.Context, err error) {
	w.failures++
	if w.failures == 1 {
		w.Log.Warn("store lost", "table", w.Name, "err", err)
	}
	if w.OnFailure != nil {
		w.OnFailure(err)
	}
	pause(ctx, min(w.MaxRetryDelay, w.RetryDelay<<min(w.failures-1, 6)))
}

func (w *Watcher) succeed() {
	if w.failures == 0 {
		return
	}
	w.Log.Info("store regained", "table", w.Name, "failed_calls", w.failures)
	w.failures = 0
	if w.OnRecovery != nil {
		w.OnRecovery()
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
