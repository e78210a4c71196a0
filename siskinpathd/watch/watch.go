// Package watch replicates tables of the platform's store. A Watcher first reads
// a full snapshot of a table and then its changes. It collects changes in
// batches, so that a burst of them costs only a few calls. A Table also accepts
// updates from other hosts.
package watch

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"siskinpath/core/clock"
	"siskinpath/core/revision"
)

// ErrHistoryGone reports that the store no longer keeps the requested changes, or has
// come back from a copy that lacks them.
// The table must be read in full.
var ErrHistoryGone = errors.New("the store no longer keeps the requested changes")

// Source reads a table of the store.
type Source interface {
	// Snapshot returns all rows as of one revision.
	Snapshot(ctx context.Context) (rows []Row, at revision.Revision, err error)
	// Changes returns the rows that changed after a revision. It blocks until
	// there is one, and returns none when wait has passed. It fails with
	// ErrHistoryGone when the store no longer keeps the changes since then, and at the
	// deadline of ctx.
	Changes(ctx context.Context, after revision.Revision, wait clock.Millis) (rows []Row, at revision.Revision, err error)
}

// Watcher follows one table while it is enabled. Set the exported fields before
// Run.
type Watcher struct {
	Name   string // table name in log lines and updates
	Source Source
	Log    *slog.Logger
	// Revision returns the revision up to which the table is known.
	Revision func() (at revision.Revision, known bool)
	// Merge adds an update to the table; see Replica.Merge.
	Merge func(u Update) bool
	// Enabled reports whether this host must follow the store itself. Nil means
	// always.
	Enabled func() bool
	// Confirm is called with each time up to which the store has told this host every
	// change of the table, and with the start of the call that told it, by Boot. Unlike at,
	// started does not rely on the answer being on time. Confirm may be called by several
	// goroutines at once.
	Confirm func(at, started clock.Millis)
	Clock   clock.Clock
	Boot    clock.Clock // clock.Boot, or another clock in tests
	// BatchInterval is the pause after changes were received. Changes made in the
	// meantime arrive together in the next call.
	BatchInterval clock.Millis
	// PollInterval is the longest time between two responses of the store: it may hold a
	// call for what is left of it while nothing changes.
	PollInterval clock.Millis
	// ResponseMargin is how much longer than the store may hold it a call may take.
	ResponseMargin clock.Millis
	// RetryDelay is the pause after the first failed call. It doubles with each
	// further failure up to MaxRetryDelay.
	RetryDelay    clock.Millis
	MaxRetryDelay clock.Millis
	// OnFailure is called after each failed call. It may be nil.
	OnFailure func(err error)
	// OnRecovery is called after the first successful call that follows failures.
	// It may be nil.
	OnRecovery func()

	failures    int          // consecutive failed calls
	respondedAt clock.Millis // end of the last successful call; 0 for none
}

// ReadWhole reads the table in full at once, beside Run, if it is of an older era. It
// serves hosts that learn from another table that the store has come back from an older
// copy, while the call of Run is held by the store.
func (w *Watcher) ReadWhole(ctx context.Context, era int64) {
	if at, known := w.Revision(); !known || at.Era >= era || w.Enabled != nil && !w.Enabled() {
		return
	}
	if _, err := w.poll(ctx, true, 0); err != nil {
		w.Log.Warn("table can't be read whole", "table", w.Name, "err", err)
	}
}

// Read reads the table in full at once, beside Run and whether or not it is enabled.
func (w *Watcher) Read(ctx context.Context) error {
	_, err := w.poll(ctx, true, 0)
	return err
}

const (
	// enabledPollInterval is how often a disabled watcher checks whether it has
	// been enabled.
	enabledPollInterval = 100 * clock.Millisecond
	// initialPollInterval replaces enabledPollInterval until the table is known.
	initialPollInterval = 10 * clock.Millisecond
)

// Run follows the table until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	full := true
	for ctx.Err() == nil {
		if w.Enabled != nil && !w.Enabled() {
			poll := enabledPollInterval
			if _, known := w.Revision(); !known {
				poll = initialPollInterval
			}
			pause(ctx, poll)
			continue
		}
		wait := max(0, w.PollInterval-w.sinceResponse())
		asked := w.Clock.Now()
		n, err := w.poll(ctx, full, wait)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistoryGone):
			w.Log.Info("history gone, reading whole", "table", w.Name)
			full = true
		case err != nil:
			w.handleFailure(ctx, err)
			// After an outage, rows may be missing although the store reports no
			// change for them. A full read costs one call, as reading changes does.
			full = true
		default:
			w.handleSuccess()
			notHeld := !full && w.Clock.Now()-asked < wait/2
			full = false
			if n > 0 || notHeld {
				pause(ctx, w.BatchInterval)
			}
		}
	}
}

// poll makes one call to the store, which may hold it for wait while nothing changes,
// and merges its result. It returns the number of rows received.
func (w *Watcher) poll(ctx context.Context, full bool, wait clock.Millis) (n int, err error) {
	u := Update{Table: w.Name, Full: full}
	after, known := w.Revision()
	started := w.Boot.Now()
	asOf := w.Clock.Now()
	if full || !known {
		u.Full = true
		u.Rows, u.Revision, err = w.Source.Snapshot(ctx)
	} else {
		timeout, cancel := context.WithTimeout(ctx, (wait + w.ResponseMargin).Duration())
		u.Rows, u.Revision, err = w.Source.Changes(timeout, after, wait)
		cancel()
		asOf = min(w.Clock.Now(), asOf+wait)
	}
	if err != nil {
		return 0, err
	}
	u.Base = after
	if !w.Merge(u) {
		return 0, errors.Errorf("changes after revision %v leave a gap to the known rows", after)
	}
	w.Confirm(asOf, started)
	return len(u.Rows), nil
}

func (w *Watcher) handleFailure(ctx context.Context, err error) {
	w.failures++
	if w.failures == 1 {
		w.Log.Warn("store lost", "table", w.Name, "responded_ms_ago", w.sinceResponse(), "err", err)
	}
	if w.OnFailure != nil {
		w.OnFailure(err)
	}
	pause(ctx, min(w.MaxRetryDelay, w.RetryDelay<<min(w.failures-1, 6)))
}

// sinceResponse returns the time since the store last responded, a long one if it never
// did.
func (w *Watcher) sinceResponse() clock.Millis { return w.Clock.Now() - w.respondedAt }

func (w *Watcher) handleSuccess() {
	w.respondedAt = w.Clock.Now()
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
