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

// Limits of redialling.
const (
	minBackoff      = 50 * clock.Millisecond
	maxBackoff      = 2 * clock.Second
	maxIncarnations = 8
)

// target is a host that is dialled again whenever its link closes.
type target struct {
	transport *Transport
	id        string
	address   string
	cancel    context.CancelFunc

	// incarnations lists those known to have listened at address, oldest first. It
	// is guarded by transport.mu.
	incarnations []membership.Incarnation
}

// Dial starts maintaining a link to host. An incarnation of 0 means that the
// incarnation is not known. Calling Dial again for the same host adds a new
// incarnation or changes the address.
func (tr *Transport) Dial(host membership.Host) {
	tr.once.Do(tr.setDefaults)
	if host.ID == tr.Self.ID || host.PeerAddress == "" {
		return
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	t := tr.targets[host.ID]
	if t != nil && t.address != host.PeerAddress {
		t.cancel()
		t = nil
	}
	if t == nil {
		t = &target{transport: tr, id: host.ID, address: host.PeerAddress, cancel: func() {}}
		tr.targets[host.ID] = t
		if tr.ctx != nil {
			tr.startTarget(t)
		}
	}
	t.addIncarnation(host.Incarnation)
}

// RetainHosts stops dialling every host whose id is not in ids, and forgets such
// hosts that have no link.
func (tr *Transport) RetainHosts(ids []string) {
	tr.once.Do(tr.setDefaults)
	kept := map[string]bool{}
	for _, id := range ids {
		kept[id] = true
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for id, t := range tr.targets {
		if !kept[id] {
			t.cancel()
			delete(tr.targets, id)
		}
	}
	for id, h := range tr.links {
		if !kept[id] && h.dialled == nil && h.accepted == nil {
			delete(tr.links, id)
		}
	}
}

// startTarget starts dialling t. It must be called with tr.mu held.
func (tr *Transport) startTarget(t *target) {
	if tr.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(tr.ctx)
	t.cancel = cancel
	tr.wg.Go(func() {
		defer cancel()
		t.run(ctx)
	})
}

// addIncarnation adds i to the incarnations known to have listened at the address.
// It must be called with transport.mu held.
func (t *target) addIncarnation(i membership.Incarnation) {
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

// knownIncarnations returns a copy of t.incarnations.
func (t *target) knownIncarnations() []membership.Incarnation {
	t.transport.mu.Lock()
	defer t.transport.mu.Unlock()
	return append([]membership.Incarnation(nil), t.incarnations...)
}

// reportDead removes the incarnations in dead and passes each one that was still
// known to OnDeath.
func (t *target) reportDead(dead []membership.Incarnation) {
	tr := t.transport
	tr.deliverMu.Lock()
	defer tr.deliverMu.Unlock()
	for _, i := range dead {
		if t.removeIncarnation(i) {
			tr.count.deaths.Inc()
			tr.OnDeath(membership.Death{ID: t.id, Incarnation: i})
		}
	}
}

func (t *target) removeIncarnation(i membership.Incarnation) bool {
	t.transport.mu.Lock()
	defer t.transport.mu.Unlock()
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
		if t.dialOnce(ctx) {
			backoff = minBackoff
		} else {
			backoff = min(2*backoff, maxBackoff)
		}
		sleep(ctx, jitter(backoff))
	}
}

// dialOnce dials once and runs the link until it closes. It reports whether the
// other side answered the handshake. A refused connection proves that the known
// incarnations are dead.
func (t *target) dialOnce(ctx context.Context) bool {
	// Read before dialling, since the dial proves nothing about later incarnations.
	known := t.knownIncarnations()
	aliveAfter := t.transport.tick()
	dialer := net.Dialer{Timeout: dialTimeout.Duration()}
	conn, err := dialer.DialContext(ctx, "tcp", t.address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		t.transport.count.dialsRefused.Inc()
		t.reportDead(known)
		return false
	}
	if err != nil {
		t.transport.count.dialsFailed.Inc()
		return false
	}
	t.transport.count.dialsOK.Inc()
	s := &session{transport: t.transport, target: t, aliveAfter: aliveAfter, knownIncarnations: known}
	s.run(ctx, conn)
	return s.responded.Load()
}

// jitter returns a random duration between half of d and d.
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
