package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"siskinpath/core/clock"
	"siskinpath/core/membership"
)

// Bounds of redialling.
const (
	minBackoff      = 50 * clock.Millisecond
	maxBackoff      = 2 * clock.Second
	maxIncarnations = 8
)

// target is a host that is dialled again whenever its link ends.
type target struct {
	link    *Transport
	id      string
	address string
	cancel  context.CancelFunc

	// incarnations are those known to have listened at address. Under link.mu.
	incarnations []membership.Incarnation
}

// Dial keeps a link to host from now on. An incarnation of 0 means that it is
// not known yet. Naming a host again adds what is new in it.
func (l *Transport) Dial(host membership.Host) {
	l.once.Do(l.start)
	if host.ID == l.Self.ID || host.PeerAddress == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.targets[host.ID]
	if t != nil && t.address != host.PeerAddress {
		t.cancel()
		t = nil
	}
	if t == nil {
		t = &target{link: l, id: host.ID, address: host.PeerAddress, cancel: func() {}}
		l.targets[host.ID] = t
		if l.ctx != nil {
			l.startTarget(t)
		}
	}
	t.learn(host.Incarnation)
}

// RetainHosts stops dialling every host that is not among ids.
func (l *Transport) RetainHosts(ids []string) {
	l.once.Do(l.start)
	kept := map[string]bool{}
	for _, id := range ids {
		kept[id] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, t := range l.targets {
		if !kept[id] {
			t.cancel()
			delete(l.targets, id)
		}
	}
	for id, h := range l.hosts {
		if !kept[id] && h.dialled == nil && h.accepted == nil {
			delete(l.hosts, id)
		}
	}
}

// startTarget is called with l.mu held.
func (l *Transport) startTarget(t *target) {
	if l.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(l.ctx)
	t.cancel = cancel
	l.wg.Go(func() {
		defer cancel()
		t.run(ctx)
	})
}

// learn is called with link.mu held.
func (t *target) learn(i membership.Incarnation) {
	if i == 0 {
		return
	}
	for _, known := range t.incarnations {
		if known == i {
			return
		}
	}
	t.incarnations = append(t.incarnations, i)
	if len(t.incarnations) > maxIncarnations {
		t.incarnations = t.incarnations[1:]
	}
}

// known gives the incarnations known to have listened at address before now.
func (t *target) known() []membership.Incarnation {
	t.link.mu.Lock()
	defer t.link.mu.Unlock()
	return append([]membership.Incarnation(nil), t.incarnations...)
}

// buried tells that incarnations have ended, and forgets them.
func (t *target) buried(dead []membership.Incarnation) {
	l := t.link
	l.deliver.Lock()
	defer l.deliver.Unlock()
	for _, i := range dead {
		if t.forget(i) {
			l.count.deaths.Inc()
			l.OnDeath(membership.Death{ID: t.id, Incarnation: i})
		}
	}
}

func (t *target) forget(i membership.Incarnation) bool {
	t.link.mu.Lock()
	defer t.link.mu.Unlock()
	for n, known := range t.incarnations {
		if known == i {
			t.incarnations = append(t.incarnations[:n], t.incarnations[n+1:]...)
			return true
		}
	}
	return false
}

func (t *target) run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		if t.attempt(ctx) {
			backoff = minBackoff
		} else {
			backoff = min(2*backoff, maxBackoff)
		}
		sleep(ctx, jitter(backoff))
	}
}

// attempt dials once and keeps the link until it ends. It tells whether the
// other side answered at all.
func (t *target) attempt(ctx context.Context) bool {
	known := t.known() // before dialling: whoever comes later is no part of the proof
	began := t.link.tick()
	dialer := net.Dialer{Timeout: dialTimeout.Duration()}
	conn, err := dialer.DialContext(ctx, "tcp", t.address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		t.link.count.dialsRefused.Inc()
		t.buried(known)
		return false
	}
	if err != nil {
		t.link.count.dialsFailed.Inc()
		return false
	}
	t.link.count.dialsOK.Inc()
	s := &session{link: t.link, target: t, began: began, known: known}
	s.run(ctx, conn)
	return s.answered.Load()
}

// jitter spreads d over its upper half.
func jitter(d clock.Millis) time.Duration {
	half := d.Duration() / 2
	return half + rand.N(half+1)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
