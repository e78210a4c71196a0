package follow

import "siskinpath/core/membership"

// told notes the address that a process gave of itself. Called with d.mu held.
func (d *Driver) told(h membership.Host) {
	if h.PeerAddress == "" {
		return
	}
	if d.addresses == nil {
		d.addresses = map[string]membership.Host{}
	}
	d.addresses[h.ID] = h
}

// dial opens a link. A port that refuses proves the death of the incarnation
// named with it, so none is named unless the process gave this very address
// itself: the platform's list may already have that of its successor.
func (d *Driver) dial(h membership.Host) {
	d.mu.Lock()
	if !d.listensAt(h) {
		h.Incarnation = 0
	}
	d.mu.Unlock()
	d.Transport.Dial(h)
}

// listensAt tells whether h's incarnation gave h's address itself, to this host
// or to the one that wrote the assignment. Called with d.mu held.
func (d *Driver) listensAt(h membership.Host) bool {
	if same(d.addresses[h.ID], h) {
		return true
	}
	for _, m := range d.assignment.members {
		if same(m, h) {
			return true
		}
	}
	return false
}

func same(a, b membership.Host) bool {
	return a.ID == b.ID && a.Incarnation == b.Incarnation && a.PeerAddress == b.PeerAddress
}

// forget drops the addresses of hosts that the view has forgotten.
func (d *Driver) forget(known []string) {
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
