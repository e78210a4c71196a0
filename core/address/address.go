// Package address selects the hosts that a caller should use for a service and
// returns their addresses.
package address

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"

	"siskinpath/core/clock"
	"siskinpath/core/membership"
)

// MaxAddresses is the number of hosts in a response, DefaultTTL the time for which
// a caller may use it.
const (
	MaxAddresses = 4
	DefaultTTL   = 5 * clock.Second
)

// Candidate is a host that Select may return.
type Candidate struct {
	Host      membership.Host
	Slots     int // slots of the service's upstreams that the host owns; 0 when it only forwards requests
	KeyWindow uint32
	Leaving   bool
	Presence  membership.Presence
}

// Input holds the inputs of Select.
type Input struct {
	Candidates []Candidate
	Seed       uint64       // random for each response, so that callers spread over hosts
	TTL        clock.Millis // 0 means DefaultTTL
}

// Address is one host in a Response.
type Address struct {
	Address          string // IP and port for callers
	AvailabilityZone string
	KeyPrefix        string // prefix of idempotency keys that are sent to this host
}

// Response lists the selected hosts, best first.
type Response struct {
	Service   string
	TTL       clock.Millis
	Addresses []Address
}

// KeyPrefix returns the prefix of idempotency keys for one incarnation of a host
// and its current key window.
func KeyPrefix(incarnation membership.Incarnation, window uint32) string {
	return fmt.Sprintf("%016x-%x-", uint64(incarnation), window)
}

// ranked is a candidate with its sort keys.
type ranked struct {
	Candidate
	near  bool // in the caller's availability zone
	score float64
}

// Select returns at most MaxAddresses hosts. Owners of the service's upstreams come
// before other hosts, and hosts in the caller's availability zone before those in
// other zones. Within each of these groups the order is random, weighted by owned
// slots. The response includes a host in another availability zone when there is
// one, so that the caller still has an address when its own zone is lost. Hosts
// that are leaving, not present, or without an address for callers are left out.
func Select(_ clock.Millis, service, availabilityZone string, in Input) Response {
	response := Response{Service: service, TTL: cmp.Or(in.TTL, DefaultTTL)}
	var all []ranked
	for _, c := range in.Candidates {
		if c.Leaving || c.Presence != membership.Present || c.Host.CallerAddress == "" {
			continue
		}
		all = append(all, ranked{Candidate: c, near: c.Host.AvailabilityZone == availabilityZone, score: score(in.Seed, c)})
	}
	slices.SortFunc(all, compare)
	for _, r := range top(all) {
		response.Addresses = append(response.Addresses, Address{
			Address:          r.Host.CallerAddress,
			AvailabilityZone: r.Host.AvailabilityZone,
			KeyPrefix:        KeyPrefix(r.Host.Incarnation, r.KeyWindow),
		})
	}
	return response
}

// compare orders owners before other hosts, then hosts in the caller's availability
// zone before those in other zones, then by ascending score and host id.
func compare(a, b ranked) int {
	return cmp.Or(
		-cmp.Compare(min(a.Slots, 1), min(b.Slots, 1)),
		-compareBool(a.near, b.near),
		cmp.Compare(a.score, b.score),
		cmp.Compare(a.Host.ID, b.Host.ID),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// top returns the first MaxAddresses hosts. It replaces the last one by the best
// host in another availability zone when all of them are in the caller's zone.
func top(all []ranked) []ranked {
	if len(all) <= MaxAddresses {
		return all
	}
	selected := slices.Clone(all[:MaxAddresses])
	if slices.ContainsFunc(selected, func(r ranked) bool { return !r.near }) {
		return selected
	}
	far := slices.IndexFunc(all, func(r ranked) bool { return !r.near })
	if far >= 0 {
		selected[MaxAddresses-1] = all[far]
	}
	return selected
}

// score is a weighted rendezvous hash: the probability that a host has the lowest
// score is proportional to its slots.
func score(seed uint64, c Candidate) float64 {
	x := membership.RendezvousWeight(strconv.FormatUint(seed, 16), c.Host.ID)
	uniform := (float64(x>>11) + 0.5) / (1 << 53)
	return -math.Log(uniform) / float64(max(c.Slots, 1))
}
