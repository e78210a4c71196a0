package filter

import (
	"sync"

	"siskinpath/core/clock"
	"siskinpath/core/idempotency"
	"siskinpath/siskinpathd/call"
)

// LockedKeyRegistry makes an idempotency.KeyRegistry safe for concurrent use, and
// delivers the reply of a key to the requests that wait for it.
type LockedKeyRegistry struct {
	Clock    clock.Clock
	Registry *idempotency.KeyRegistry

	mu      sync.Mutex
	waiting map[idempotency.RecordID][]chan idempotency.Reply
}

// WithLock calls f with the current time and exclusive access to the registry.
func (k *LockedKeyRegistry) WithLock(f func(now clock.Millis, r *idempotency.KeyRegistry)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f(k.Clock.Now(), k.Registry)
}

func (k *LockedKeyRegistry) begin(c *call.Call, lookup idempotency.HostLookup) (d idempotency.Decision, ended <-chan idempotency.Reply) {
	k.mu.Lock()
	defer k.mu.Unlock()
	d = k.Registry.Begin(k.Clock.Now(), idempotency.Request{
		Service:      c.Service,
		Organisation: c.Organisation,
		Key:          c.Key,
		Fingerprint:  c.Fingerprint(),
		Deadline:     c.Deadline,
		Mode:         c.Mode,
		Retry:        c.Unanswered,
		ClaimRow:     c.ClaimRow,
	}, lookup)
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

func (k *LockedKeyRegistry) maySend(rec idempotency.RecordID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.Registry.MaySend(k.Clock.Now(), rec)
}

func (k *LockedKeyRegistry) notSent(rec idempotency.RecordID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.Registry.NotSent(k.Clock.Now(), rec)
}

func (k *LockedKeyRegistry) end(rec idempotency.RecordID, r idempotency.Reply) idempotency.Reply {
	k.mu.Lock()
	defer k.mu.Unlock()
	r = k.Registry.End(k.Clock.Now(), rec, r)
	k.notifyWaiters(rec, r)
	return r
}

// notifyWaiters sends the reply of a record to the requests that wait for it. k.mu
// must be held.
func (k *LockedKeyRegistry) notifyWaiters(rec idempotency.RecordID, r idempotency.Reply) {
	for _, ch := range k.waiting[rec] {
		ch <- r
	}
	delete(k.waiting, rec)
}
