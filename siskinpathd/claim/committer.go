// Package claim writes claims of idempotency keys to the platform's table service,
// in batches of one transaction each.
package claim

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"siskinpath/core/clock"
	"siskinpath/core/idempotency"
	"siskinpath/siskinpathd/platform"
)

// Table is the part of the platform's table service that a Committer uses.
type Table interface {
	Read(ctx context.Context, keys ...string) ([]platform.Row, error)
	Transact(ctx context.Context, t platform.Transaction) (platform.Result, error)
}

// KeyRegistry gives exclusive access to an idempotency.KeyRegistry.
type KeyRegistry interface {
	WithLock(f func(now clock.Millis, k *idempotency.KeyRegistry))
}

const (
	// expiryInterval is the interval between checks for claims past their deadline.
	expiryInterval = 20 * clock.Millisecond
	// retryInterval is the delay before claims that are still pending are retried.
	retryInterval = 10 * clock.Millisecond
)

// Committer carries out the reads and writes that the key registry requests of the
// table service. One transaction is in progress at a time; claims that arrive in the
// meantime are written by the next one.
type Committer struct {
	Registry KeyRegistry
	Table    Table
	// Reachable reports whether the last poll of the platform succeeded. While it
	// returns false, claims fail at once. Nil means that it is always reachable.
	Reachable func() bool

	mu           sync.Mutex
	pending      map[idempotency.RecordID]chan idempotency.Decision
	writeSignal  chan struct{} // a claim is to be written
	expirySignal chan struct{} // a claim is pending and may expire
}

// New returns a Committer ready for Run.
func New(k KeyRegistry, t Table) *Committer {
	return &Committer{
		Registry:     k,
		Table:        t,
		pending:      make(map[idempotency.RecordID]chan idempotency.Decision),
		writeSignal:  make(chan struct{}, 1),
		expirySignal: make(chan struct{}, 1),
	}
}

// Run writes claims until ctx is done.
func (c *Committer) Run(ctx context.Context) {
	go c.expire(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.writeSignal:
		}
		for c.commit(ctx) && ctx.Err() == nil {
			time.Sleep(retryInterval.Duration())
		}
	}
}

// Claim waits until the claim of rec is decided, at most until its deadline.
func (c *Committer) Claim(rec idempotency.RecordID) idempotency.Decision {
	ch := make(chan idempotency.Decision, 1)
	c.mu.Lock()
	c.pending[rec] = ch
	c.mu.Unlock()
	notify(c.writeSignal)
	notify(c.expirySignal)
	return <-ch
}

// notify sends on ch unless a notification is already pending there.
func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// TakeOver claims the key of rec again after the host that held the claim gave it up.
func (c *Committer) TakeOver(rec idempotency.RecordID) idempotency.Decision {
	c.Registry.WithLock(func(now clock.Millis, k *idempotency.KeyRegistry) { k.TakeOver(now, rec) })
	return c.Claim(rec)
}

// commit carries out the requested writes and reads once. It reports whether any
// claim is still pending.
func (c *Committer) commit(ctx context.Context) bool {
	var writes []idempotency.ClaimWrite
	c.Registry.WithLock(func(now clock.Millis, k *idempotency.KeyRegistry) { writes = k.NextClaimWrites(now) })
	if len(writes) > 0 {
		c.write(ctx, writes)
	}
	var reads []idempotency.ClaimRead
	c.Registry.WithLock(func(now clock.Millis, k *idempotency.KeyRegistry) { reads = k.NextClaimReads(now) })
	if len(reads) > 0 {
		c.read(ctx, reads)
	}
	return c.deliver() > 0
}

func (c *Committer) write(ctx context.Context, writes []idempotency.ClaimWrite) {
	var t platform.Transaction
	for _, w := range writes {
		t.Checks = append(t.Checks, platform.Check{Key: w.RowKey, Version: w.ExpectVersion})
		t.Puts = append(t.Puts, platform.Put{Key: w.RowKey, Value: w.Value})
	}
	result, err := c.transact(ctx, t)
	c.Registry.WithLock(func(now clock.Millis, k *idempotency.KeyRegistry) {
		for _, w := range writes {
			k.HandleClaimOutcome(now, w.Record, writeOutcome(w, result, err))
		}
	})
}

var errUnreachable = &platform.Error{Kind: platform.NotApplied, Cause: errors.New("the last poll of the platform failed")}

func (c *Committer) unreachable() bool { return c.Reachable != nil && !c.Reachable() }

func (c *Committer) transact(ctx context.Context, t platform.Transaction) (platform.Result, error) {
	if c.unreachable() {
		return platform.Result{}, errUnreachable
	}
	return c.Table.Transact(ctx, t)
}

func (c *Committer) readRows(ctx context.Context, keys []string) ([]platform.Row, error) {
	if c.unreachable() {
		return nil, errUnreachable
	}
	return c.Table.Read(ctx, keys...)
}

// writeOutcome returns the outcome of one claim of a finished transaction.
func writeOutcome(w idempotency.ClaimWrite, result platform.Result, err error) idempotency.ClaimOutcome {
	switch {
	case err == nil:
		return idempotency.ClaimOutcome{Kind: idempotency.ClaimCommitted}
	case platform.OutcomeUnknown(err):
		return idempotency.ClaimOutcome{Kind: idempotency.ClaimReplyLost}
	case !platform.IsConflict(err):
		return idempotency.ClaimOutcome{Kind: idempotency.ClaimPlatformDown}
	}
	for _, row := range result.Rows {
		if row.Key == w.RowKey {
			return idempotency.ClaimOutcome{Kind: idempotency.ClaimTaken, Value: row.Value, Version: row.Version}
		}
	}
	return idempotency.ClaimOutcome{Kind: idempotency.ClaimRetry}
}

func (c *Committer) read(ctx context.Context, reads []idempotency.ClaimRead) {
	keys := make([]string, len(reads))
	for i, r := range reads {
		keys[i] = r.RowKey
	}
	rows, err := c.readRows(ctx, keys)
	err = errors.WithMessage(err, "read claims back")
	c.Registry.WithLock(func(now clock.Millis, k *idempotency.KeyRegistry) {
		for i, r := range reads {
			out := idempotency.ClaimOutcome{Kind: idempotency.ClaimPlatformDown}
			if err == nil {
				out = readOutcome(rows[i])
			}
			k.HandleClaimOutcome(now, r.Record, out)
		}
	})
}

func readOutcome(row platform.Row) idempotency.ClaimOutcome {
	if row.Version == 0 {
		return idempotency.ClaimOutcome{Kind: idempotency.ClaimAbsent}
	}
	return idempotency.ClaimOutcome{Kind: idempotency.ClaimTaken, Value: row.Value, Version: row.Version}
}

// expire ends claims whose deadline passes while a transaction is in progress. It
// blocks while no claim is pending.
func (c *Committer) expire(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.expirySignal:
		}
		for c.tick() > 0 && ctx.Err() == nil {
			time.Sleep(expiryInterval.Duration())
		}
	}
}

// tick ends expired claims and returns the number of claims still pending.
func (c *Committer) tick() int {
	c.Registry.WithLock(func(now clock.Millis, k *idempotency.KeyRegistry) { k.Tick(now) })
	return c.deliver()
}

// deliver sends the decisions that have been made to their waiting requests and
// returns the number of claims still pending.
func (c *Committer) deliver() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Registry.WithLock(func(_ clock.Millis, k *idempotency.KeyRegistry) {
		for rec, ch := range c.pending {
			if d, ok := k.ClaimDecision(rec); ok {
				delete(c.pending, rec)
				ch <- d
			}
		}
	})
	return len(c.pending)
}
