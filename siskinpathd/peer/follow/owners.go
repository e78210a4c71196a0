package follow

import "slices"

// ownership is one host that owns upstreams of a service.
type ownership struct {
	service string
	hostID  string
}

// noteOwners looks whether the owners of any service have changed. Called with
// d.mu held.
func (d *Driver) noteOwners() {
	t := d.follower.InForce()
	if t == nil {
		return
	}
	var owners []ownership
	for i := range t.Services {
		service := t.Services[i].Name
		for _, h := range d.view.Owners(service) {
			owners = append(owners, ownership{service: service, hostID: h.ID})
		}
	}
	if !slices.Equal(owners, d.owners) {
		d.owners = owners
		d.changed()
	}
}
