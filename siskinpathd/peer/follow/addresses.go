package follow

import "siskinpath/core/membership"

// recordAddress stores the address that a process announced for itself. It must be
// called with d.mu held.
func (d *Driver) recordAddress(h membership.Host) {
	if h.PeerAddress == "" {
		return
	}
	if d.addresses == nil {
		d.addresses = map[string]membership.Host{}
	}
	d.addresses[h.ID] = h
}

// dial asks the transport to maintain a link to h. The transport takes a refused
// connection as proof that the given incarnation is dead. dial therefore passes the
// incarnation only if the process itself announced this address, because the
// platform's list of hosts may already contain the address of its successor.
func (d *Driver) dial(h membership.Host) {
	d.mu.Lock()
	if !d.addressAnnounced(h) {
		h.Incarnation = 0
	}
	d.mu.Unlock()
	d.Transport.Dial(h)
}

// addressAnnounced reports whether h's incarnation itself announced h's address, to
// this host or to the one that wrote the assignment. It must be called with d.mu held.
func (d *Driver) addressAnnounced(h membership.Host) bool {
	if sameListener(d.addresses[h.ID], h) {
		return true
	}
	for _, m := range d.assignment.members {
		if sameListener(m, h) {
			return true
		}
	}
	return false
}

func sameListener(a, b membership.Host) bool {
	return a.ID == b.ID && a.Incarnation == b.Incarnation && a.PeerAddress == b.PeerAddress
}

// pruneAddresses removes the addresses of hosts that are not in known, the ids of the
// hosts that the view keeps.
func (d *Driver) pruneAddresses(known []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	kept := map[string]membership.Host{}
	for _, id := range known {
		if h, ok := d.addresses[id]; ok {
			kept[id] = h
		}
	}
	d.addresses = kept
}
