// Package claim writes the claims of idempotency keys to the platform's table
// service, many in one transaction.
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

// Table is the part of the platform's table service that claims need.
type Table interface {
	Read(ctx context.Context, keys ...string) ([]platform.Row, error)
	Transact(ctx context.Context, t platform.Transaction) (platform.Result, error)
}

// KeyRegistry gives exclusive use of the decisions about keys.
type KeyRegistry interface {
	WithLock(f func(now clock.Millis, k *idempotency.KeyRegistry))
}

const (
	// expiryInterval is how often claims past their deadline are looked for.
	expiryInterval = 20 * clock.Millisecond
	// retryInterval is the pause before claims that are still open are tried again.
	retryInterval = 10 * clock.Millisecond
)

// Committer carries out what the keeper wants of the table service. One
// transaction is out at a time; the claims that come meanwhile go with the next.
type Committer struct {
	Registry KeyRegistry
	Table    Table
	// Reachable tells whether the platform answered when it was last looked at.
	// While it did not, claims are given up at once. Nil means always.
	Reachable func() bool

	mu           sync.Mutex
	pending      map[idempotency.RecordID]chan idempotency.Decision
	writeSignal  chan struct{} // a claim wants to be written
	expirySignal chan struct{} // a claim may expire
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

// Run writes claims until ctx ends.
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

// Claim waits until the claim of rec is decided. Its deadline bounds the wait.
func (c *Committer) Claim(rec idempotency.RecordID) idempotency.Decision {
	ch := make(chan idempotency.Decision, 1)
	c.mu.Lock()
	c.pending[rec] = ch
	c.mu.Unlock()
	notify(c.writeSignal)
	notify(c.expirySignal)
	return <-ch
}

// notify leaves a message for whoever waits on ch, unless one lies there already.
func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// TakeOver wants the claim of rec anew, after its claimant gave it up.
func (c *Committer) TakeOver(rec idempotency.RecordID) idempotency.Decision {
	c.Registry.WithLock(func(now clock.Millis, k *idempotency.KeyRegistry) { k.TakeOver(now, rec) })
	return c.Claim(rec)
}

// commit does one turn of writes and reads. It tells whether any claim is open.
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

var errUnreachable = &platform.Error{Kind: platform.NotApplied, Cause: errors.New("the platform did not answer when last looked at")}

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

// writeOutcome tells what a transaction's end means for one of its claims.
func writeOutcome(w idempotency.ClaimWrite, result platform.Result, err error) idempotency.ClaimOutcome {
	switch {
	case err == nil:
		return idempotency.ClaimOutcome{Kind: idempotency.ClaimCommitted}
	case platform.Unknown(err):
		return idempotency.ClaimOutcome{Kind: idempotency.ClaimReplyLost}
	case !platform.Conflicted(err):
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

// expire ends claims whose deadline passes while a transaction is out. It sleeps
// while no claim is open.
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

func (c *Committer) tick() int {
	c.Registry.WithLock(func(now clock.Millis, k *idempotency.KeyRegistry) { k.Tick(now) })
	return c.deliver()
}

// deliver hands out the decisions that have been made and returns the number
// of claims still open.
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
