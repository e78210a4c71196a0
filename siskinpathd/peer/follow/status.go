package follow

import (
	"github.com/pkg/errors"

	"siskinpath/core/clock"
	"siskinpath/core/membership"
	"siskinpath/core/table"
)

// locked runs f with d.mu held and returns its result.
func locked[T any](d *Driver, f func(now clock.Millis) T) T {
	d.once.Do(d.setDefaults)
	d.mu.Lock()
	defer d.mu.Unlock()
	return f(d.Clock.Now())
}

// Rights returns the current rights of this host to use upstreams.
func (d *Driver) Rights() []membership.Right {
	return locked(d, func(now clock.Millis) []membership.Right { return d.view.Rights(now) })
}

// Holds reports which rights this host currently holds on an upstream.
func (d *Driver) Holds(service, upstream string) (full, reduced bool) {
	d.once.Do(d.setDefaults)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.Holds(d.Clock.Now(), service, upstream)
}

// OwnerHosts returns the hosts that own upstreams of a service.
func (d *Driver) OwnerHosts(service string) []membership.Host {
	return locked(d, func(clock.Millis) []membership.Host { return d.view.OwnerHosts(service) })
}

// Owners returns the hosts that own upstreams of a service, with the upstreams that
// each of them owns.
func (d *Driver) Owners(service string) []membership.Owner {
	return locked(d, func(clock.Millis) []membership.Owner { return d.view.Owners(service) })
}

// Find returns the host and presence of one incarnation of a host.
func (d *Driver) Find(id string, incarnation membership.Incarnation) (membership.Host, membership.Presence) {
	d.once.Do(d.setDefaults)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.Find(id, incarnation)
}

// FindIncarnation returns the host and presence of an incarnation whose host id is not
// known to the caller.
func (d *Driver) FindIncarnation(incarnation membership.Incarnation) (membership.Host, membership.Presence) {
	d.once.Do(d.setDefaults)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.FindIncarnation(incarnation)
}

// Status returns the status of every known host, sorted by id.
func (d *Driver) Status() []membership.HostStatus {
	return locked(d, func(now clock.Millis) []membership.HostStatus { return d.view.Status(now) })
}

// Table returns the table in force, or nil. The table must not be modified. Table
// takes no lock, because it is called for every request.
func (d *Driver) Table() *table.Table { return d.inForce.Load() }

// SetLeaving makes this host hand over the upstreams that it owns.
func (d *Driver) SetLeaving() {
	d.handle(func(now clock.Millis) []membership.Action { return d.view.SetLeaving(now) })
}

// Epoch returns the epoch of the assignment in force.
func (d *Driver) Epoch() uint64 {
	return locked(d, func(clock.Millis) uint64 { return d.view.Epoch() })
}

// MarkDrained records that no request is in flight any more under rights that ended
// with the given epoch or an earlier one.
func (d *Driver) MarkDrained(epoch uint64) {
	locked(d, func(clock.Millis) struct{} { d.view.MarkDrained(epoch); return struct{}{} })
}

// PlatformReachable reports whether the last poll of the platform succeeded.
func (d *Driver) PlatformReachable() bool {
	return locked(d, func(clock.Millis) bool { return d.platform.reachable() })
}

// SetKeyWindow sets the idempotency key window that is announced to other hosts.
func (d *Driver) SetKeyWindow(w uint32) {
	locked(d, func(clock.Millis) struct{} { d.view.SetKeyWindow(w); return struct{}{} })
}

// State is the part of the state dump that concerns the driver.
type State struct {
	Member            membership.State    `json:"member"`
	Table             table.FollowerState `json:"table"`
	PlatformReachable bool                `json:"platform_reachable"`
	PlatformFailure   string              `json:"platform_failure,omitempty"`
}

// State returns the part of the state dump that concerns the driver.
func (d *Driver) State() State {
	return locked(d, func(now clock.Millis) State {
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

// Health returns the reason why this host should not be offered to callers, or nil if
// it may be offered.
func (d *Driver) Health() error {
	return locked(d, func(now clock.Millis) error {
		failure := d.platform.failure
		switch {
		case d.view.State(now).Leaving:
			return errors.New("this host is leaving")
		case d.follower.InForce() != nil && d.view.Epoch() > 0:
			return nil
		case d.follower.InForce() != nil:
			return errors.New("no assignment in force yet: no upstream has an owner")
		case failure != nil:
			return errors.WithMessage(failure, "no table in force yet, waiting for the platform or a majority of hosts")
		case d.platform.polled:
			return errors.New("no table in force: the platform has none; apply one with siskinctl")
		}
		return errors.New("no table in force yet: the platform has not been polled")
	})
}
