package platform

import (
	"slices"
	"strings"
	"sync"

	"siskinpath/core/clock"
)

// States of a host in the list.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Host is an entry host as the platform's deployer describes it.
type Host struct {
	ID               string `json:"id"`
	AvailabilityZone string `json:"availability_zone"`
	State            string `json:"state"`
	PeerAddress      string `json:"peer_address"`
	CallerAddress    string `json:"caller_address"`
	OperatorAddress  string `json:"operator_address"`
}

// HostList is the list of hosts. A reader sees it as it was some time ago. The
// zero value is empty and ready.
type HostList struct {
	mu       sync.Mutex
	versions []listVersion
}

type listVersion struct {
	since clock.Millis
	hosts []Host
}

// Set adds h, or changes the host of the same id.
func (l *HostList) Set(now clock.Millis, h Host) {
	l.change(now, func(hosts []Host) []Host {
		hosts = slices.DeleteFunc(hosts, func(o Host) bool { return o.ID == h.ID })
		hosts = append(hosts, h)
		slices.SortFunc(hosts, func(a, b Host) int { return strings.Compare(a.ID, b.ID) })
		return hosts
	})
}

// SetState changes the state of the host called id, if there is one.
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

// Remove takes the host called id out of the list.
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

// At returns the list as it stood lag before now.
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
