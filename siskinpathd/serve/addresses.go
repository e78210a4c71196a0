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

// fleetView is the part of follow.Driver that address resolution reads.
type fleetView interface {
	Table() *table.Table
	Owners(service string) []membership.Owner
	Status() []membership.HostStatus
}

// addressResolver selects the hosts that a caller may send its requests to.
type addressResolver struct {
	fleet fleetView
	clock clock.Clock
}

// checkReady returns an error if this host cannot serve yet. A host that knows no
// owner of a service can neither run the service's requests nor forward them.
func (a *addressResolver) checkReady() error {
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

func (a *addressResolver) resolve(service, availabilityZone string) (out caller.Addresses, err error) {
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

// candidates returns the owners of the service's upstreams, followed by the other
// hosts that are present. The other hosts have zero slots and are used only if
// there are too few owners.
func (a *addressResolver) candidates(svc *table.Service) []address.Candidate {
	slots := make(map[string]int)
	for i := range svc.Upstreams {
		slots[svc.Upstreams[i].Name] = svc.Upstreams[i].Slots
	}
	var all []address.Candidate
	isOwner := make(map[string]bool)
	for _, o := range a.fleet.Owners(svc.Name) {
		c := address.Candidate{Host: o.Host, KeyWindow: o.KeyWindow, Leaving: o.Leaving, Presence: membership.Present}
		for _, name := range o.Upstreams {
			c.Slots += slots[name]
		}
		isOwner[o.Host.ID] = true
		all = append(all, c)
	}
	for _, s := range a.fleet.Status() {
		if !isOwner[s.ID] && s.Presence == membership.Present.String() {
			all = append(all, address.Candidate{Host: hostOf(s), KeyWindow: s.KeyWindow, Leaving: s.Leaving, Presence: membership.Present})
		}
	}
	return slices.DeleteFunc(all, keyWindowUnknown)
}

// keyWindowUnknown reports whether a host has not announced its key window yet.
// Such a host must not be selected, because a request whose key carries a guessed
// window can never run.
func keyWindowUnknown(c address.Candidate) bool { return c.KeyWindow == 0 }

func hostOf(s membership.HostStatus) membership.Host {
	return membership.Host{ID: s.ID, Incarnation: s.Incarnation, AvailabilityZone: s.AvailabilityZone, CallerAddress: s.CallerAddress}
}

// hostStatusByPresence maps the presence of a host in membership to its status for
// idempotency keys.
var hostStatusByPresence = map[membership.Presence]idempotency.HostStatus{
	membership.Present:     idempotency.Reachable,
	membership.Gone:        idempotency.Terminated,
	membership.Unreachable: idempotency.Unreachable,
	membership.NeverSeen:   idempotency.NeverSeen,
}

// findIncarnation returns the host with the given incarnation and its status.
func findIncarnation(f *follow.Driver, incarnation uint64) (hostID string, status idempotency.HostStatus) {
	h, presence := f.FindIncarnation(membership.Incarnation(incarnation))
	return h.ID, hostStatusByPresence[presence]
}
