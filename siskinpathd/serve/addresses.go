package serve

import (
	"math/rand/v2"
	"slices"

	"github.com/pkg/errors"

	"siskinpath/core/address"
	"siskinpath/core/clock"
	"siskinpath/core/idempotency"
	"siskinpath/core/membership"
	"siskinpath/core/table"
	"siskinpath/siskinpathd/caller"
	"siskinpath/siskinpathd/peer/follow"
)

// fleet is what is known of the hosts and the table.
type fleet interface {
	Table() *table.Table
	Owners(service string) []membership.Owner
	Status() []membership.HostStatus
}

// addresses answers callers' question which hosts to use.
type addresses struct {
	fleet fleet
	clock clock.Clock
}

// ready tells why this host can't serve yet: a host that knows no owner of a
// service can neither run its requests nor pass them on.
func (a *addresses) ready() error {
	t := a.fleet.Table()
	if t == nil {
		return caller.ErrNoTable
	}
	for i := range t.Services {
		if len(a.fleet.Owners(t.Services[i].Name)) == 0 {
			return errors.WithMessagef(caller.ErrNoOwner, "service %s", t.Services[i].Name)
		}
	}
	return nil
}

func (a *addresses) answer(service, availabilityZone string) (out caller.Addresses, err error) {
	t := a.fleet.Table()
	if t == nil {
		return out, caller.ErrNoTable
	}
	svc := t.Service(service)
	if svc == nil {
		return out, caller.ErrUnknownService
	}
	if len(a.fleet.Owners(service)) == 0 {
		return out, caller.ErrNoOwner
	}
	reply := address.Select(a.clock.Now(), service, availabilityZone, address.Input{
		Candidates: a.candidates(svc),
		Seed:       rand.Uint64(),
	})
	out = caller.Addresses{Service: reply.Service, TTL: reply.TTL}
	for _, h := range reply.Addresses {
		out.Hosts = append(out.Hosts, caller.Address(h))
	}
	return out, nil
}

// candidates are the owners of the service's upstreams, and the other hosts
// without any slots, for when there are too few owners.
func (a *addresses) candidates(svc *table.Service) []address.Candidate {
	slots := make(map[string]int)
	for i := range svc.Upstreams {
		slots[svc.Upstreams[i].Name] = svc.Upstreams[i].Slots
	}
	var all []address.Candidate
	owns := make(map[string]bool)
	for _, o := range a.fleet.Owners(svc.Name) {
		c := address.Candidate{Host: o.Host, KeyWindow: o.KeyWindow, Leaving: o.Leaving, Presence: membership.Present}
		for _, name := range o.Upstreams {
			c.Slots += slots[name]
		}
		owns[o.Host.ID] = true
		all = append(all, c)
	}
	for _, s := range a.fleet.Status() {
		if !owns[s.ID] && s.Presence == membership.Present.String() {
			all = append(all, address.Candidate{Host: hostOf(s), KeyWindow: s.KeyWindow, Leaving: s.Leaving, Presence: membership.Present})
		}
	}
	return slices.DeleteFunc(all, withoutWindow)
}

// withoutWindow tells whether a host has not told its key window yet. A key with
// a made-up window could never run.
func withoutWindow(c address.Candidate) bool { return c.KeyWindow == 0 }

func hostOf(s membership.HostStatus) membership.Host {
	return membership.Host{ID: s.ID, Incarnation: s.Incarnation, AvailabilityZone: s.AvailabilityZone, CallerAddress: s.CallerAddress}
}

// presences maps what membership knows of a host to what matters for a key.
var presences = map[membership.Presence]idempotency.HostStatus{
	membership.Present:     idempotency.Reachable,
	membership.Gone:        idempotency.Terminated,
	membership.Unreachable: idempotency.Unreachable,
	membership.NeverSeen:   idempotency.NeverSeen,
}

// findIncarnation tells which host runs as an incarnation.
func findIncarnation(f *follow.Driver, incarnation uint64) (hostID string, p idempotency.HostStatus) {
	h, presence := f.FindIncarnation(membership.Incarnation(incarnation))
	return h.ID, presences[presence]
}
