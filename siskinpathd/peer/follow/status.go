package follow

import (
	"github.com/pkg/errors"

	"siskinpath/core/clock"
	"siskinpath/core/membership"
	"siskinpath/core/table"
)

// with runs f under the lock.
func with[T any](d *Driver, f func(now clock.Millis) T) T {
	d.once.Do(d.start)
	d.mu.Lock()
	defer d.mu.Unlock()
	return f(d.Clock.Now())
}

// Rights gives what this host may use now.
func (d *Driver) Rights() []membership.Right {
	return with(d, func(now clock.Millis) []membership.Right { return d.view.Rights(now) })
}

// Holds tells what this host may do with an upstream at this moment.
func (d *Driver) Holds(service, upstream string) (full, cut bool) {
	d.once.Do(d.start)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.Holds(d.Clock.Now(), service, upstream)
}

// OwnerHosts gives the hosts that own upstreams of a service.
func (d *Driver) OwnerHosts(service string) []membership.Host {
	return with(d, func(clock.Millis) []membership.Host { return d.view.OwnerHosts(service) })
}

// Owners gives the hosts that own upstreams of a service, with what they own.
func (d *Driver) Owners(service string) []membership.Owner {
	return with(d, func(clock.Millis) []membership.Owner { return d.view.Owners(service) })
}

// Find gives what is known of one incarnation of a host.
func (d *Driver) Find(id string, incarnation membership.Incarnation) (membership.Host, membership.Presence) {
	d.once.Do(d.start)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.Find(id, incarnation)
}

// FindIncarnation gives what is known of an incarnation whose host isn't known.
func (d *Driver) FindIncarnation(incarnation membership.Incarnation) (membership.Host, membership.Presence) {
	d.once.Do(d.start)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.FindIncarnation(incarnation)
}

// Status gives what this host knows of every host, sorted by id.
func (d *Driver) Status() []membership.HostStatus {
	return with(d, func(now clock.Millis) []membership.HostStatus { return d.view.Status(now) })
}

// Table gives the table in force, or nil. It is never changed, and asking for it
// waits for nothing, since every request does.
func (d *Driver) Table() *table.Table { return d.inForce.Load() }

// SetLeaving makes this host hand over what it owns.
func (d *Driver) SetLeaving() {
	d.do(func(now clock.Millis) []membership.Action { return d.view.SetLeaving(now) })
}

// Epoch gives the epoch of the assignment in force.
func (d *Driver) Epoch() uint64 {
	return with(d, func(clock.Millis) uint64 { return d.view.Epoch() })
}

// MarkDrained says that nothing is in flight any more under rights that ended with
// epoch or before.
func (d *Driver) MarkDrained(epoch uint64) {
	with(d, func(clock.Millis) struct{} { d.view.MarkDrained(epoch); return struct{}{} })
}

// PlatformReachable tells whether the platform answered when last looked at.
func (d *Driver) PlatformReachable() bool {
	return with(d, func(clock.Millis) bool { return d.platform.reachable() })
}

// SetKeyWindow sets the window for idempotency keys that others are told.
func (d *Driver) SetKeyWindow(w uint32) {
	with(d, func(clock.Millis) struct{} { d.view.SetKeyWindow(w); return struct{}{} })
}

// State is the driver's part of the state dump.
type State struct {
	Member            membership.State    `json:"member"`
	Table             table.FollowerState `json:"table"`
	PlatformReachable bool                `json:"platform_reachable"`
	PlatformFailure   string              `json:"platform_failure,omitempty"`
}

// State gives the driver's part of the state dump.
func (d *Driver) State() State {
	return with(d, func(now clock.Millis) State {
		s := State{
			Member:            d.view.State(now),
			Table:             d.follower.State(),
			PlatformReachable: d.platform.reachable(),
		}
		if d.platform.failure != nil {
			s.PlatformFailure = d.platform.failure.Error()
		}
		return s
	})
}

// Health tells why this host should not be offered to callers; nil means that it may.
func (d *Driver) Health() error {
	return with(d, func(now clock.Millis) error {
		failure := d.platform.failure
		switch {
		case d.view.State(now).Leaving:
			return errors.New("this host is leaving")
		case d.follower.InForce() != nil && d.view.Epoch() > 0:
			return nil
		case d.follower.InForce() != nil:
			return errors.New("no assignment known yet: nobody owns an upstream")
		case failure != nil:
			return errors.WithMessage(failure, "no table in force yet, waiting for the platform or a majority of hosts")
		case d.platform.tried:
			return errors.New("no table in force: the platform has none; apply one with siskinctl")
		}
		return errors.New("no table in force yet: the platform has not been asked")
	})
}
