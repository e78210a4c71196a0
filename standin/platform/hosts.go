package platform

import (
	"slices"
	"strings"
	"sync"

	"siskinpath/core/clock"
)

// States of a host in the host list.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Host is an entry host as described by the platform's deployer.
type Host struct {
	ID               string `json:"id"`
	AvailabilityZone string `json:"availability_zone"`
	State            string `json:"state"`
	PeerAddress      string `json:"peer_address"`
	CallerAddress    string `json:"caller_address"`
	OperatorAddress  string `json:"operator_address"`
}

// HostList is the list of hosts with its earlier versions, so that readers can get
// it with a delay. The zero value is an empty list.
type HostList struct {
	mu       sync.Mutex
	versions []listVersion
}

type listVersion struct {
	since clock.Millis
	hosts []Host
}

// Set adds h, or replaces the host with the same ID.
func (l *HostList) Set(now clock.Millis, h Host) {
	l.change(now, func(hosts []Host) []Host {
		hosts = slices.DeleteFunc(hosts, func(o Host) bool { return o.ID == h.ID })
		hosts = append(hosts, h)
		slices.SortFunc(hosts, func(a, b Host) int { return strings.Compare(a.ID, b.ID) })
		return hosts
	})
}

// SetState sets the state of the host with the given ID, if there is one.
func (l *HostList) SetState(now clock.Millis, id, state string) {
	l.change(now, func(hosts []Host) []Host {
		for i := range hosts {
			if hosts[i].ID == id {
				hosts[i].State = state
			}
		}
		return hosts
	})
}

// Remove removes the host with the given ID from the list.
func (l *HostList) Remove(now clock.Millis, id string) {
	l.change(now, func(hosts []Host) []Host {
		return slices.DeleteFunc(hosts, func(o Host) bool { return o.ID == id })
	})
}

func (l *HostList) change(now clock.Millis, edit func([]Host) []Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var hosts []Host
	if n := len(l.versions); n > 0 {
		hosts = slices.Clone(l.versions[n-1].hosts)
	}
	l.versions = append(l.versions, listVersion{since: now, hosts: edit(hosts)})
}

// At returns the list as it was lag before now.
func (l *HostList) At(now, lag clock.Millis) []Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, v := range slices.Backward(l.versions) {
		if v.since <= now-lag {
			return slices.Clone(v.hosts)
		}
	}
	return []Host{}
}
