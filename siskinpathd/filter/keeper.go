package filter

import (
	"sync"

	"siskinpath/core/clock"
	"siskinpath/core/once"
	"siskinpath/siskinpathd/call"
)

// Keeper is once.KeyRegistry for use by many goroutines.
type Keeper struct {
	Clock clock.Clock
	Once  *once.KeyRegistry

	mu      sync.Mutex
	waiting map[once.RecordID][]chan once.Reply
}

// With runs f with exclusive use of the decision machine.
func (k *Keeper) With(f func(now clock.Millis, o *once.KeyRegistry)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f(k.Clock.Now(), k.Once)
}

func (k *Keeper) begin(c *call.Call, find once.HostLookup) (d once.Decision, ended <-chan once.Reply) {
	k.mu.Lock()
	defer k.mu.Unlock()
	d = k.Once.Begin(k.Clock.Now(), once.Request{
		Service:      c.Service,
		Organisation: c.Organisation,
		Key:          c.Key,
		Fingerprint:  c.Fingerprint(),
		Deadline:     c.Deadline,
		Mode:         c.Mode,
		Retry:        c.Unanswered,
		ClaimRow:     c.ClaimRow,
	}, find)
	if d.Verdict != once.Wait {
		return d, nil
	}
	if k.waiting == nil {
		k.waiting = make(map[once.RecordID][]chan once.Reply)
	}
	ch := make(chan once.Reply, 1)
	k.waiting[d.Record] = append(k.waiting[d.Record], ch)
	return d, ch
}

func (k *Keeper) maySend(rec once.RecordID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.Once.MaySend(k.Clock.Now(), rec)
}

func (k *Keeper) notSent(rec once.RecordID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.Once.NotSent(k.Clock.Now(), rec)
}

func (k *Keeper) end(rec once.RecordID, r once.Reply) once.Reply {
	k.mu.Lock()
	defer k.mu.Unlock()
	r = k.Once.End(k.Clock.Now(), rec, r)
	k.tell(rec, r)
	return r
}

// tell gives a record's end to those that wait for it. k.mu is held.
func (k *Keeper) tell(rec once.RecordID, r once.Reply) {
	for _, ch := range k.waiting[rec] {
		ch <- r
	}
	delete(k.waiting, rec)
}
