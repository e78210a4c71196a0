package config

import "math/rand/v2"

// Splitter deals the requests of routes to their services in proportion to the
// weights. It starts at a random point, so that many hosts with few requests
// each keep the proportions together. Not safe for concurrent use.
type Splitter struct {
	Rand *rand.Rand

	routes map[string]*deal // by name of the route
}

// deal is the state of a smooth weighted round robin.
type deal struct {
	parts  []WeightedService
	credit []int
}

// Pick returns the service that runs the next request of r, "" when all weights are 0.
func (s *Splitter) Pick(r *Route) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	d := s.routes[r.Name]
	if d == nil || !sameParts(d.parts, r.Split) {
		d = s.start(r)
	}
	return d.next()
}

// Prune forgets the routes that c no longer has.
func (s *Splitter) Prune(c *Config) {
	known := map[string]bool{}
	for i := range c.Routes {
		known[c.Routes[i].Name] = true
	}
	for name := range s.routes {
		if !known[name] {
			delete(s.routes, name)
		}
	}
}

func (s *Splitter) start(r *Route) *deal {
	if s.routes == nil {
		s.routes = map[string]*deal{}
	}
	d := &deal{parts: r.Split, credit: make([]int, len(r.Split))}
	s.routes[r.Name] = d
	total := 0
	for _, p := range r.Split {
		total += p.Weight
	}
	if total > 0 {
		// A round has as many turns as the weights' sum; a few hundred turns
		// away from the start any point of the round is about as likely.
		for range s.Rand.IntN(min(total, 256)) {
			d.next()
		}
	}
	return d
}

func (d *deal) next() string {
	total, best := 0, -1
	for i, p := range d.parts {
		total += p.Weight
		d.credit[i] += p.Weight
		if p.Weight > 0 && (best < 0 || d.credit[i] > d.credit[best]) {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	d.credit[best] -= total
	return d.parts[best].Service
}

func sameParts(a, b []WeightedService) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
