package quarantine

import (
	"maps"
	"slices"

	"siskinpath/core/clock"
)

const (
	// endsToQuarantine is the number of upstreams that must have ended while they ran a
	// request. One that runs beside such a request is lost with it, but rarely again.
	endsToQuarantine = 3
	// quarantineTime is how long a request is not sent after the last such end.
	quarantineTime = 10 * clock.Minute
	// memory is how long ends are remembered. After a quarantine, one more end is enough
	// for the next.
	memory = clock.Hour
	// maxRequests and maxEnds limit the requests that are remembered, and the ends of each.
	maxRequests = 1000
	maxEnds     = 8
)

// End says that an upstream ended while it ran a request, or, if Disproved is set, that
// the request did not cause it, since it has succeeded afterwards.
type End struct {
	Request   Fingerprint
	Upstream  string // id and start
	Disproved bool
	Age       clock.Millis // how long ago it was seen
}

// Registry holds the ends that this host and others have seen. The zero value is empty.
type Registry struct {
	requests map[Fingerprint]*request
}

// request is what is known of one content.
type request struct {
	ends   map[string]state // by upstream
	lastAt clock.Millis     // of the last end that is not disproved
}

// state is what is known of an end. A later one replaces an earlier one.
type state int

const (
	suspected state = iota + 1 // an attempt was lost; whether the upstream has ended is not known yet
	ended
	disproved
)

// count returns the number of ends that are not disproved.
func (r *request) count() (n int) {
	for _, s := range r.ends {
		if s != disproved {
			n++
		}
	}
	return n
}

// Len returns the number of requests that are remembered.
func (g *Registry) Len() int { return len(g.requests) }

// Add records ends, and returns those that were not known.
func (g *Registry) Add(now clock.Millis, ends ...End) (news []End) {
	for _, e := range ends {
		s := ended
		if e.Disproved {
			s = disproved
		}
		if e.Age <= memory && g.add(now-e.Age, e.Request, e.Upstream, s) {
			news = append(news, e)
		}
	}
	return news
}

// Suspect records that an attempt was lost at an upstream. Add or Retract follow when it is
// known whether the upstream has ended.
func (g *Registry) Suspect(now clock.Millis, f Fingerprint, upstream string) {
	g.add(now, f, upstream, suspected)
}

// Retract takes back a suspicion: the upstream has not ended.
func (g *Registry) Retract(f Fingerprint, upstream string) {
	r := g.requests[f]
	if r == nil || r.ends[upstream] != suspected {
		return
	}
	delete(r.ends, upstream)
	if len(r.ends) == 0 {
		delete(g.requests, f)
	}
}

// add records the state of an end. It returns false if nothing new is known.
func (g *Registry) add(at clock.Millis, f Fingerprint, upstream string, s state) bool {
	r := g.requests[f]
	if r == nil {
		r = g.newRequest(at, f)
	}
	known := r.ends[upstream]
	if known >= s {
		return false
	}
	if known == 0 && len(r.ends) >= maxEnds {
		r.forgetOne()
	}
	r.ends[upstream] = s
	if s != disproved {
		r.lastAt = max(r.lastAt, at)
	}
	return true
}

// forgetOne drops an end, a disproved one if there is one.
func (r *request) forgetOne() {
	var drop string
	for u, s := range r.ends {
		if drop == "" || s == disproved {
			drop = u
		}
	}
	delete(r.ends, drop)
}

func (g *Registry) newRequest(at clock.Millis, f Fingerprint) *request {
	if g.requests == nil {
		g.requests = map[Fingerprint]*request{}
	}
	if len(g.requests) >= maxRequests {
		g.forget(at)
	}
	r := &request{ends: map[string]state{}, lastAt: at - memory}
	g.requests[f] = r
	return r
}

// forget drops requests whose ends are too old, and otherwise the one of least use.
func (g *Registry) forget(now clock.Millis) {
	maps.DeleteFunc(g.requests, func(_ Fingerprint, r *request) bool { return now-r.lastAt >= memory })
	if len(g.requests) < maxRequests {
		return
	}
	var least Fingerprint
	var worst *request
	for f, r := range g.requests {
		if worst == nil || r.count() < worst.count() || r.count() == worst.count() && r.lastAt < worst.lastAt {
			least, worst = f, r
		}
	}
	delete(g.requests, least)
}

// Succeeded disproves all ends of a request that has succeeded, and returns those that
// other hosts may know.
func (g *Registry) Succeeded(f Fingerprint) (news []End) {
	r := g.requests[f]
	if r == nil {
		return nil
	}
	for u, s := range r.ends {
		if s == ended {
			news = append(news, End{Request: f, Upstream: u, Disproved: true})
		}
		r.ends[u] = disproved
	}
	return news
}

// Left returns how long a request is still in quarantine, 0 if it is not.
func (g *Registry) Left(now clock.Millis, f Fingerprint) clock.Millis {
	r := g.requests[f]
	if r == nil || r.count() < endsToQuarantine {
		return 0
	}
	return max(0, r.lastAt+quarantineTime-now)
}

// Ends returns all ends that are remembered, for a host that does not know them.
func (g *Registry) Ends(now clock.Millis) (ends []End) {
	for f, r := range g.requests {
		age := now - r.lastAt
		if age >= memory {
			continue
		}
		for u, s := range r.ends {
			if s != suspected {
				ends = append(ends, End{Request: f, Upstream: u, Disproved: s == disproved, Age: age})
			}
		}
	}
	return ends
}

// Upstreams returns the upstreams that ended while they ran a request.
func (g *Registry) Upstreams(f Fingerprint) (list []string) {
	if r := g.requests[f]; r != nil {
		for u, s := range r.ends {
			if s != disproved {
				list = append(list, u)
			}
		}
	}
	slices.Sort(list)
	return list
}

// Report describes a request in quarantine for operators.
type Report struct {
	Content   Fingerprint  `json:"content"`
	LeftMs    clock.Millis `json:"left_ms"`
	Upstreams []string     `json:"upstreams"` // that ended while they ran it
}

// Report returns the requests in quarantine.
func (g *Registry) Report(now clock.Millis) (list []Report) {
	for f := range g.requests {
		if left := g.Left(now, f); left > 0 {
			list = append(list, Report{Content: f, LeftMs: left, Upstreams: g.Upstreams(f)})
		}
	}
	slices.SortFunc(list, func(a, b Report) int { return slices.Compare(a.Content[:], b.Content[:]) })
	return list
}
