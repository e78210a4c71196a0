package quarantine

import (
	"cmp"
	"maps"
	"slices"

	"siskinpath/core/clock"
)

const (
	// endsToQuarantine is the number of upstreams that must have ended, one after another,
	// while they ran a request.
	endsToQuarantine = 3
	// quarantineTime is how long a request is not sent after the last such end.
	quarantineTime = 10 * clock.Minute
	// memory is how long ends are remembered. After a quarantine, one more end is enough
	// for the next.
	memory = clock.Hour
	// maxWorks, maxEnds and maxSuccesses limit what is remembered: the works, and the
	// ends and successes of each.
	maxWorks     = 1000
	maxEnds      = 16
	maxSuccesses = 8
)

// Event is what a host has seen of a request: an upstream ended while it ran it, or it
// succeeded after such an end.
type Event struct {
	Content
	Upstream string       // id and start; "" if the request succeeded
	Age      clock.Millis // how long ago it was seen
	Ran      clock.Millis // how long the request had been at the upstream
}

// Registry holds the events that this host and others have seen. The zero value is empty.
//
// Of ends that overlap only one counts, since one that is not caused by the request comes
// at the same time as others. Ends before a success do not count. A scope that covers
// several callers or queries takes ends of different ones, so that a request which comes
// again unchanged is told from others of the same work.
type Registry struct {
	works map[Hash]*work
}

// work is what is known of the requests of one work.
type work struct {
	ends      []end // by time
	successes []success
}

type end struct {
	Content
	upstream  string
	from, at  clock.Millis // when the request was sent to the upstream, and when that ended
	confirmed bool         // the upstream has ended; otherwise only the attempt was lost
}

type success struct {
	Content
	at clock.Millis
}

// Verdict says whether a request is in quarantine.
type Verdict struct {
	Left      clock.Millis // 0 if it is not
	Scope     Scope        // the narrowest that it is in quarantine by
	Upstreams []string     // that ended
}

// Len returns the number of works that are remembered.
func (g *Registry) Len() int { return len(g.works) }

// Verdict returns whether a request is in quarantine.
func (g *Registry) Verdict(now clock.Millis, c Content) (v Verdict) {
	w := g.works[c.Work]
	if w == nil {
		return v
	}
	for _, s := range scopes {
		counted := w.counted(s, c)
		if len(counted) < endsToQuarantine {
			continue
		}
		last := counted[len(counted)-1].at
		for _, e := range w.ends {
			if s.same(e.Content, c) {
				last = max(last, e.at)
			}
		}
		if left := last + quarantineTime - now; left > 0 {
			v.Left, v.Scope = left, s
			for _, e := range counted {
				v.Upstreams = append(v.Upstreams, e.upstream)
			}
			return v
		}
	}
	return v
}

// counted returns the ends that count for a request in a scope.
func (w *work) counted(s Scope, c Content) (list []end) {
	since := w.lastSuccess(s, c)
	callers, queries := map[Hash]bool{}, map[Hash]bool{}
	var until clock.Millis
	for _, e := range w.ends {
		if !s.same(e.Content, c) || e.at <= since || len(list) > 0 && e.from < until {
			continue
		}
		if s.anyCaller() && callers[e.Caller] || s.anyQuery() && queries[e.Query] {
			continue
		}
		callers[e.Caller], queries[e.Query] = true, true
		until = e.at
		list = append(list, e)
	}
	return list
}

func (w *work) lastSuccess(s Scope, c Content) (at clock.Millis) {
	at = -memory
	for _, x := range w.successes {
		if s.same(x.Content, c) {
			at = max(at, x.at)
		}
	}
	return at
}

// Add records events, and returns those that were not known.
func (g *Registry) Add(now clock.Millis, events ...Event) (news []Event) {
	for _, e := range events {
		if e.Age > memory {
			continue
		}
		known := false
		if e.Upstream == "" {
			known = !g.addSuccess(now-e.Age, e.Content)
		} else {
			known = !g.addEnd(end{Content: e.Content, upstream: e.Upstream, from: now - e.Age - e.Ran, at: now - e.Age, confirmed: true})
		}
		if !known {
			news = append(news, e)
		}
	}
	return news
}

// Suspect records that an attempt was lost at an upstream. Add or Retract follow when it is
// known whether the upstream has ended.
func (g *Registry) Suspect(now clock.Millis, c Content, upstream string, ran clock.Millis) {
	g.addEnd(end{Content: c, upstream: upstream, from: now - ran, at: now})
}

// Retract takes back a suspicion: the upstream has not ended.
func (g *Registry) Retract(c Content, upstream string) {
	w := g.works[c.Work]
	if w == nil {
		return
	}
	w.ends = slices.DeleteFunc(w.ends, func(e end) bool { return e.Content == c && e.upstream == upstream && !e.confirmed })
	if len(w.ends) == 0 {
		delete(g.works, c.Work)
	}
}

// Succeeded records that a request has succeeded, and returns the event if ends of its work
// do not count any more.
func (g *Registry) Succeeded(now clock.Millis, c Content) []Event {
	return g.Add(now, Event{Content: c})
}

// Events returns the events that are remembered, for a host that does not know them.
func (g *Registry) Events(now clock.Millis) (events []Event) {
	for _, w := range g.works {
		for _, e := range w.ends {
			if e.confirmed && now-e.at <= memory {
				events = append(events, Event{Content: e.Content, Upstream: e.upstream, Age: now - e.at, Ran: e.at - e.from})
			}
		}
		for _, x := range w.successes {
			events = append(events, Event{Content: x.Content, Age: now - x.at})
		}
	}
	return events
}

// addEnd returns false if the end is known.
func (g *Registry) addEnd(e end) bool {
	w := g.works[e.Work]
	if w == nil {
		w = g.newWork(e.at, e.Work)
	}
	for i, k := range w.ends {
		if k.Content == e.Content && k.upstream == e.upstream {
			news := e.confirmed && !k.confirmed
			w.ends[i].confirmed = k.confirmed || e.confirmed
			return news
		}
	}
	w.ends = append(w.ends, e)
	slices.SortStableFunc(w.ends, func(a, b end) int { return cmp.Compare(a.at, b.at) })
	w.ends = w.ends[max(0, len(w.ends)-maxEnds):]
	return true
}

// addSuccess returns false if no end counts less by it.
func (g *Registry) addSuccess(at clock.Millis, c Content) bool {
	w := g.works[c.Work]
	if w == nil || !slices.ContainsFunc(scopes, func(s Scope) bool {
		counted := w.counted(s, c)
		return len(counted) > 0 && counted[0].at <= at
	}) {
		return false
	}
	w.successes = slices.DeleteFunc(w.successes, func(x success) bool { return x.Content == c })
	w.successes = append(w.successes, success{c, at})
	w.successes = w.successes[max(0, len(w.successes)-maxSuccesses):]
	return true
}

func (g *Registry) newWork(now clock.Millis, h Hash) *work {
	if g.works == nil {
		g.works = map[Hash]*work{}
	}
	if len(g.works) >= maxWorks {
		g.forget(now)
	}
	w := &work{}
	g.works[h] = w
	return w
}

// forget drops works whose ends are too old, and otherwise the one of least use.
func (g *Registry) forget(now clock.Millis) {
	lastAt := func(w *work) clock.Millis { return w.ends[len(w.ends)-1].at }
	maps.DeleteFunc(g.works, func(_ Hash, w *work) bool { return now-lastAt(w) >= memory })
	if len(g.works) < maxWorks {
		return
	}
	var least Hash
	var worst *work
	for h, w := range g.works {
		if worst == nil || cmp.Or(cmp.Compare(len(w.ends), len(worst.ends)), cmp.Compare(lastAt(w), lastAt(worst))) < 0 {
			least, worst = h, w
		}
	}
	delete(g.works, least)
}

// Report describes requests in quarantine for operators.
type Report struct {
	Content
	Scope     Scope        `json:"scope"`
	LeftMs    clock.Millis `json:"left_ms"`
	Upstreams []string     `json:"upstreams"` // that ended while they ran them
}

// Report returns the requests in quarantine under which upstreams have ended.
func (g *Registry) Report(now clock.Millis) (list []Report) {
	for _, w := range g.works {
		seen := map[Content]bool{}
		for _, e := range w.ends {
			if v := g.Verdict(now, e.Content); v.Left > 0 && !seen[e.Content] {
				seen[e.Content] = true
				list = append(list, Report{Content: e.Content, Scope: v.Scope, LeftMs: v.Left, Upstreams: v.Upstreams})
			}
		}
	}
	slices.SortFunc(list, func(a, b Report) int {
		return cmp.Or(slices.Compare(a.Work[:], b.Work[:]), slices.Compare(a.Query[:], b.Query[:]), slices.Compare(a.Caller[:], b.Caller[:]))
	})
	return list
}
