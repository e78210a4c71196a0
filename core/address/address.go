// Package address answers callers that ask which hosts to use for a service.
package address

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"

	"siskinpath/core/clock"
	"siskinpath/core/member"
)

// Defaults and bounds of an answer.
const (
	MaxAddresses = 4
	DefaultTTL   = 5 * clock.Second
)

// Candidate is a host that may be offered to callers.
type Candidate struct {
	Host      member.Host
	Slots     int // slots of the service's upstreams that it owns; 0 when it only passes requests on
	KeyWindow uint32
	Leaving   bool
	Presence  member.Presence
}

// Input is what an answer is made from.
type Input struct {
	Candidates []Candidate
	Seed       uint64       // random for each answer: callers spread over hosts by it
	TTL        clock.Millis // 0 means DefaultTTL
}

// Address is one host in an answer.
type Address struct {
	Address          string // IP and port for callers
	AvailabilityZone string
	KeyPrefix        string // what idempotency keys sent there begin with
}

// Response is an answer, best address first.
type Response struct {
	Service   string
	TTL       clock.Millis
	Addresses []Address
}

// KeyPrefix returns what idempotency keys for one incarnation of a host and
// its current window begin with.
func KeyPrefix(incarnation member.Incarnation, window uint32) string {
	return fmt.Sprintf("%016x-%x-", uint64(incarnation), window)
}

// ranked is a candidate with its place in the order.
type ranked struct {
	Candidate
	near  bool
	score float64
}

// Select returns at most MaxAddresses hosts: owners of the service's upstreams
// before others, the caller's availability zone before others, and within these
// at random in proportion to owned slots. The last place goes to a host of
// another availability zone when there is one, so that the answer outlives the
// loss of a zone. Hosts that leave or aren't heard are absent.
func Select(_ clock.Millis, service, availabilityZone string, in Input) Response {
	reply := Response{Service: service, TTL: cmp.Or(in.TTL, DefaultTTL)}
	var all []ranked
	for _, c := range in.Candidates {
		if c.Leaving || c.Presence != member.Present || c.Host.CallerAddress == "" {
			continue
		}
		all = append(all, ranked{Candidate: c, near: c.Host.AvailabilityZone == availabilityZone, score: score(in.Seed, c)})
	}
	slices.SortFunc(all, compare)
	for _, r := range pick(all) {
		reply.Addresses = append(reply.Addresses, Address{
			Address:          r.Host.CallerAddress,
			AvailabilityZone: r.Host.AvailabilityZone,
			KeyPrefix:        KeyPrefix(r.Host.Incarnation, r.KeyWindow),
		})
	}
	return reply
}

// compare orders owners first, then near hosts, then by score, lowest first.
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

// pick cuts the order to MaxAddresses and keeps one place for another zone.
func pick(all []ranked) []ranked {
	if len(all) <= MaxAddresses {
		return all
	}
	picked := slices.Clone(all[:MaxAddresses])
	if slices.ContainsFunc(picked, func(r ranked) bool { return !r.near }) {
		return picked
	}
	far := slices.IndexFunc(all, func(r ranked) bool { return !r.near })
	if far >= 0 {
		picked[MaxAddresses-1] = all[far]
	}
	return picked
}

// score is a weighted rendezvous: the chance to come first is in proportion to
// the slots.
func score(seed uint64, c Candidate) float64 {
	x := member.Rendezvous(strconv.FormatUint(seed, 16), c.Host.ID)
	uniform := (float64(x>>11) + 0.5) / (1 << 53)
	return -math.Log(uniform) / float64(max(c.Slots, 1))
}
