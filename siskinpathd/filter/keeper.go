package filter

import (
	"sync"

	"siskinpath/core/clock"
	"siskinpath/core/idempotency"
	"siskinpath/siskinpathd/call"
)

// Keeper is idempotency.KeyRegistry for use by many goroutines.
type Keeper struct {
	Clock clock.Clock
	Once  *idempotency.KeyRegistry

	mu      sync.Mutex
	waiting map[idempotency.RecordID][]chan idempotency.Reply
}

// With runs f with exclusive use of the decision machine.
func (k *Keeper) With(f func(now clock.Millis, o *idempotency.KeyRegistry)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f(k.Clock.Now(), k.Once)
}

func (k *Keeper) begin(c *call.Call, find idempotency.HostLookup) (d idempotency.Decision, ended <-chan idempotency.Reply) {
	k.mu.Lock()
	defer k.mu.Unlock()
	d = k.Once.Begin(k.Clock.Now(), idempotency.Request{
		Service:      c.Service,
		Organisation: c.Organisation,
		Key:          c.Key,
		Fingerprint:  c.Fingerprint(),
		Deadline:     c.Deadline,
		Mode:         c.Mode,
		Retry:        c.Unanswered,
		ClaimRow:     c.ClaimRow,
	}, find)
	if d.Verdict != idempotency.Wait {
		return d, nil
	}
	if k.waiting == nil {
		k.waiting = make(map[idempotency.RecordID][]chan idempotency.Reply)
	}
	ch := make(chan idempotency.Reply, 1)
	k.waiting[d.Record] = append(k.waiting[d.Record], ch)
	return d, ch
}

func (k *Keeper) maySend(rec idempotency.RecordID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.Once.MaySend(k.Clock.Now(), rec)
}

func (k *Keeper) notSent(rec idempotency.RecordID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.Once.NotSent(k.Clock.Now(), rec)
}

func (k *Keeper) end(rec idempotency.RecordID, r idempotency.Reply) idempotency.Reply {
	k.mu.Lock()
	defer k.mu.Unlock()
	r = k.Once.End(k.Clock.Now(), rec, r)
	k.tell(rec, r)
	return r
}

// tell gives a record's end to those that wait for it. k.mu is held.
func (k *Keeper) tell(rec idempotency.RecordID, r idempotency.Reply) {
	for _, ch := range k.waiting[rec] {
		ch <- r
	}
	delete(k.waiting, rec)
}
