// Package claim writes the claims of idempotency keys to the platform's table
// service, many in one transaction.
package claim

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"siskinpath/core/clock"
	"siskinpath/core/once"
	"siskinpath/siskinpathd/platform"
)

// Table is the part of the platform's table service that claims need.
type Table interface {
	Read(ctx context.Context, keys ...string) ([]platform.Row, error)
	Transact(ctx context.Context, t platform.Transaction) (platform.Result, error)
}

// Keeper gives exclusive use of the decisions about keys.
type Keeper interface {
	With(f func(now clock.Millis, k *once.KeyRegistry))
}

const (
	// expiryTurn is how often claims past their deadline are looked for.
	expiryTurn = 20 * clock.Millisecond
	// retryTurn is the pause before claims that are still open are tried again.
	retryTurn = 10 * clock.Millisecond
)

// Committer carries out what the keeper wants of the table service. One
// transaction is out at a time; the claims that come meanwhile go with the next.
type Committer struct {
	Keeper Keeper
	Table  Table
	// Reachable tells whether the platform answered when it was last looked at.
	// While it did not, claims are given up at once. Nil means always.
	Reachable func() bool

	mu     sync.Mutex
	open   map[once.RecordID]chan once.Decision
	wake   chan struct{} // a claim wants to be written
	opened chan struct{} // a claim may expire
}

// New returns a Committer ready for Run.
func New(k Keeper, t Table) *Committer {
	return &Committer{
		Keeper: k,
		Table:  t,
		open:   make(map[once.RecordID]chan once.Decision),
		wake:   make(chan struct{}, 1),
		opened: make(chan struct{}, 1),
	}
}

// Run writes claims until ctx ends.
func (c *Committer) Run(ctx context.Context) {
	go c.expire(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		for c.commit(ctx) && ctx.Err() == nil {
			time.Sleep(retryTurn.Duration())
		}
	}
}

// Settle waits until the claim of rec is decided. Its deadline bounds the wait.
func (c *Committer) Settle(rec once.RecordID) once.Decision {
	ch := make(chan once.Decision, 1)
	c.mu.Lock()
	c.open[rec] = ch
	c.mu.Unlock()
	signal(c.wake)
	signal(c.opened)
	return <-ch
}

// signal leaves a message for whoever waits on ch, unless one lies there already.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// TakeOver wants the claim of rec anew, after its claimant gave it up.
func (c *Committer) TakeOver(rec once.RecordID) once.Decision {
	c.Keeper.With(func(now clock.Millis, k *once.KeyRegistry) { k.TakeOver(now, rec) })
	return c.Settle(rec)
}

// commit does one turn of writes and reads. It tells whether any claim is open.
func (c *Committer) commit(ctx context.Context) bool {
	var writes []once.ClaimWrite
	c.Keeper.With(func(now clock.Millis, k *once.KeyRegistry) { writes = k.NextClaimWrites(now) })
	if len(writes) > 0 {
		c.write(ctx, writes)
	}
	var reads []once.ClaimRead
	c.Keeper.With(func(now clock.Millis, k *once.KeyRegistry) { reads = k.NextClaimReads(now) })
	if len(reads) > 0 {
		c.read(ctx, reads)
	}
	return c.deliver() > 0
}

func (c *Committer) write(ctx context.Context, writes []once.ClaimWrite) {
	var t platform.Transaction
	for _, w := range writes {
		t.Checks = append(t.Checks, platform.Check{Key: w.RowKey, Version: w.ExpectVersion})
		t.Puts = append(t.Puts, platform.Put{Key: w.RowKey, Value: w.Value})
	}
	result, err := c.transact(ctx, t)
	c.Keeper.With(func(now clock.Millis, k *once.KeyRegistry) {
		for _, w := range writes {
			k.HandleClaimOutcome(now, w.Record, outcome(w, result, err))
		}
	})
}

var errUnreachable = &platform.Error{Kind: platform.NotApplied, Cause: errors.New("the platform did not answer when last looked at")}

func (c *Committer) away() bool { return c.Reachable != nil && !c.Reachable() }

func (c *Committer) transact(ctx context.Context, t platform.Transaction) (platform.Result, error) {
	if c.away() {
		return platform.Result{}, errUnreachable
	}
	return c.Table.Transact(ctx, t)
}

func (c *Committer) readRows(ctx context.Context, keys []string) ([]platform.Row, error) {
	if c.away() {
		return nil, errUnreachable
	}
	return c.Table.Read(ctx, keys...)
}

// outcome tells what a transaction's end means for one of its claims.
func outcome(w once.ClaimWrite, result platform.Result, err error) once.ClaimOutcome {
	switch {
	case err == nil:
		return once.ClaimOutcome{Kind: once.ClaimCommitted}
	case platform.Unknown(err):
		return once.ClaimOutcome{Kind: once.ClaimReplyLost}
	case !platform.Conflicted(err):
		return once.ClaimOutcome{Kind: once.ClaimPlatformDown}
	}
	for _, row := range result.Rows {
		if row.Key == w.RowKey {
			return once.ClaimOutcome{Kind: once.ClaimTaken, Value: row.Value, Version: row.Version}
		}
	}
	return once.ClaimOutcome{Kind: once.ClaimRetry}
}

func (c *Committer) read(ctx context.Context, reads []once.ClaimRead) {
	keys := make([]string, len(reads))
	for i, r := range reads {
		keys[i] = r.RowKey
	}
	rows, err := c.readRows(ctx, keys)
	err = errors.WithMessage(err, "read claims back")
	c.Keeper.With(func(now clock.Millis, k *once.KeyRegistry) {
		for i, r := range reads {
			out := once.ClaimOutcome{Kind: once.ClaimPlatformDown}
			if err == nil {
				out = found(rows[i])
			}
			k.HandleClaimOutcome(now, r.Record, out)
		}
	})
}

func found(row platform.Row) once.ClaimOutcome {
	if row.Version == 0 {
		return once.ClaimOutcome{Kind: once.ClaimAbsent}
	}
	return once.ClaimOutcome{Kind: once.ClaimTaken, Value: row.Value, Version: row.Version}
}

// expire ends claims whose deadline passes while a transaction is out. It sleeps
// while no claim is open.
func (c *Committer) expire(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.opened:
		}
		for c.turn() > 0 && ctx.Err() == nil {
			time.Sleep(expiryTurn.Duration())
		}
	}
}

func (c *Committer) turn() int {
	c.Keeper.With(func(now clock.Millis, k *once.KeyRegistry) { k.Tick(now) })
	return c.deliver()
}

// deliver hands out the decisions that have been made and returns the number
// of claims still open.
func (c *Committer) deliver() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Keeper.With(func(_ clock.Millis, k *once.KeyRegistry) {
		for rec, ch := range c.open {
			if d, ok := k.ClaimDecision(rec); ok {
				delete(c.open, rec)
				ch <- d
			}
		}
	})
	return len(c.open)
}
