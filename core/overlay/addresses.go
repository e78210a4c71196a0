package overlay

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"siskinpath/core/clock"
)

// maxContactAge is how long ago a source or a subscriber must at least have received a
// message of this host to count as live. A host that ended may be reported for that long by
// its source, which then looks at its subscribers every HeartbeatInterval and collects changes
// for some 100 ms, and the source's report for that long once more: 5.5 s in all, of the 6 s
// after which the directory must not name it. Heartbeats take up to 1 s to return.
const maxContactAge = 2500 * clock.Millisecond

// RecordSourceContact records that a source lived at a time of this host's boot clock: it
// has received what this host sent then.
func (o *Overlay) RecordSourceContact(id string, at clock.Millis) {
	if s := o.sessions[id]; s != nil {
		s.contactAt = max(s.contactAt, at)
	}
}

// RecordSubscriberContact is RecordSourceContact for a subscriber.
func (o *Overlay) RecordSubscriberContact(id string, at clock.Millis) {
	o.init()
	o.subscriberContacts[id] = max(o.subscriberContacts[id], at)
}

// HasSubscriberContact reports whether a subscriber has lived recently, as far as this host
// knows at a time of its boot clock.
func (o *Overlay) HasSubscriberContact(boot clock.Millis, id string) bool {
	return boot-o.subscriberContacts[id] <= maxContactAge
}

// CallerAddresses returns up to most addresses for callers of an availability
// zone: this host if it is ready, then other ready hosts that are live. Those
// of other zones are added only if there are fewer than minAddresses.
//
// boot is the time by this host's boot clock. Hosts are left out whose source, or which as a
// subscriber, had no contact with this host lately.
func (o *Overlay) CallerAddresses(boot clock.Millis, zone string, limit int, rnd *rand.Rand) (addresses []string) {
	near, far := []string{}, []string{}
	for id, h := range o.liveHosts(boot) {
		switch {
		case !h.Ready || id == o.Self.ID:
		case h.AvailabilityZone == zone:
			near = append(near, h.CallerAddress)
		default:
			far = append(far, h.CallerAddress)
		}
	}
	if o.Self.Ready {
		addresses = append(addresses, o.Self.CallerAddress)
	}
	shuffled := func(list []string) []string {
		slices.Sort(list)
		rnd.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		return list
	}
	addresses = append(addresses, shuffled(near)...)
	if len(addresses) < minAddresses {
		addresses = append(addresses, shuffled(far)...)
	}
	return addresses[:min(limit, len(addresses))]
}

// liveHosts returns the hosts that a source reports and the subscribers of this
// one, without those that it had no contact with lately.
func (o *Overlay) liveHosts(boot clock.Millis) map[string]Host {
	out := map[string]Host{}
	for source, hosts := range o.reported {
		if s := o.sessions[source]; s == nil || boot-s.contactAt > maxContactAge {
			continue
		}
		for id, h := range hosts {
			out[id] = h
		}
	}
	for id, h := range o.subscribers {
		if o.HasSubscriberContact(boot, id) {
			out[id] = h
		}
	}
	return out
}

// ForwardAddresses returns the addresses at which the other registered hosts take requests
// and messages of hosts, by id. Hosts that take none are left out.
func (o *Overlay) ForwardAddresses() map[string]string {
	addresses := make(map[string]string, len(o.known))
	for id, k := range o.known {
		if k.ForwardAddress != "" {
			addresses[id] = k.ForwardAddress
		}
	}
	return addresses
}

// ForwardHosts returns up to limit other hosts that take requests of this one, at random.
// It prefers those that are known to live, and includes hosts of other availability zones.
// boot is as for CallerAddresses.
func (o *Overlay) ForwardHosts(boot clock.Millis, limit int, rnd *rand.Rand) (hosts []Host) {
	live := o.liveHosts(boot)
	var near, far []Host
	for id, k := range o.known {
		_, lives := live[id]
		switch {
		case k.ForwardAddress == "":
		case k.AvailabilityZone == o.Self.AvailabilityZone && !lives:
			// Sources report all hosts of this zone that live.
		case k.AvailabilityZone == o.Self.AvailabilityZone:
			near = append(near, k.Host)
		default:
			far = append(far, k.Host)
		}
	}
	for _, list := range [][]Host{near, far} {
		slices.SortFunc(list, func(a, b Host) int { return cmp.Compare(a.ID, b.ID) })
		rnd.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	ofNear := min(len(near), max(limit/2, limit-len(far)))
	return append(near[:ofNear:ofNear], far[:min(len(far), limit-ofNear)]...)
}
