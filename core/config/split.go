package config

import "math/rand/v2"

// Splitter distributes the requests of each route over its services in proportion to
// their weights. It starts at a random point of the round, so that the proportions also
// hold over many hosts with few requests each. Not safe for concurrent use.
type Splitter struct {
	Rand *rand.Rand

	routes map[string]*roundRobin // by route name
}

// roundRobin is the state of a smooth weighted round robin.
type roundRobin struct {
	services []WeightedService
	credit   []int
}

// Pick returns the service for the next request of r, "" if all weights are 0.
func (s *Splitter) Pick(r *Route) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	rr := s.routes[r.Name]
	if rr == nil || !sameSplit(rr.services, r.Split) {
		rr = s.start(r)
	}
	return rr.next()
}

// Prune drops the state of routes that are not in c.
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

func (s *Splitter) start(r *Route) *roundRobin {
	if s.routes == nil {
		s.routes = map[string]*roundRobin{}
	}
	rr := &roundRobin{services: r.Split, credit: make([]int, len(r.Split))}
	s.routes[r.Name] = rr
	total := 0
	for _, p := range r.Split {
		total += p.Weight
	}
	if total > 0 {
		// A round has as many turns as the sum of the weights. A random start within
		// the first 256 turns is enough to make all points of the round about equally
		// likely.
		for range s.Rand.IntN(min(total, 256)) {
			rr.next()
		}
	}
	return rr
}

func (rr *roundRobin) next() string {
	total, best := 0, -1
	for i, p := range rr.services {
		total += p.Weight
		rr.credit[i] += p.Weight
		if p.Weight > 0 && (best < 0 || rr.credit[i] > rr.credit[best]) {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	rr.credit[best] -= total
	return rr.services[best].Service
}

func sameSplit(a, b []WeightedService) bool {
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
