package relay

import (
	"time"

	"siskinpath/core/clock"
	"siskinpath/core/revision"
	"siskinpath/siskinpathd/relay/relaypb"
	"siskinpath/siskinpathd/watch"
)

const (
	// fetchTimeout is how long a first fetch may take before it is sent to another source. It
	// doubles with each further one, up to maxFetchTimeout: sources that do not reply in time
	// may be sending the tables to many hosts at once.
	fetchTimeout    = 400 * clock.Millisecond
	maxFetchTimeout = 4 * fetchTimeout
)

// fetching is the fetch of a table's changes that this host waits for. There is one at a
// time for each table: a reply has all changes that the source knows when it sends it.
type fetching struct {
	source    *session // nil if there is none
	number    int      // counts the fetches of this table
	failures  int      // successive ones without a reply
	newest    revision.Revision
	announcer *session // the last source that has announced the newest revision
}

// fetch requests the changes of a table up to a revision from a source that has announced
// it, unless the host waits for a reply already.
func (r *Relay) fetch(s *session, t watch.Replica, name string, at revision.Revision) {
	after, ok := t.Revision() // before the lock, which is taken while the table is locked
	if !ok {
		after.Version = -1
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.fetches[name]
	if f == nil {
		f = &fetching{}
		r.fetches[name] = f
	}
	if !at.Before(f.newest) {
		f.newest, f.announcer = at, s
	}
	if f.source != nil {
		return
	}
	select {
	case s.out <- &relaypb.Fetch{Table: name, After: after.Version, Era: &after.Era}:
	default:
		return // earlier fetches are still waiting to be sent
	}
	f.source = s
	f.number++
	number, timeout := f.number, min(maxFetchTimeout, fetchTimeout<<min(f.failures, 2))
	time.AfterFunc(timeout.Duration(), func() { r.fetchTimedOut(f, number, t, name) })
}

// fetchTimedOut sends a fetch that has had no reply to another source.
func (r *Relay) fetchTimedOut(f *fetching, number int, t watch.Replica, name string) {
	r.mu.Lock()
	if f.number != number || f.source == nil {
		r.mu.Unlock()
		return // there was a reply, or the session has ended
	}
	tried := f.source
	f.source = nil
	f.failures++
	other := r.otherSource(f, tried)
	r.mu.Unlock()
	r.fetchAgain(f, other, t, name)
}

// fetchAgain fetches a table from s, nil for no source, if it lacks changes that have been announced.
func (r *Relay) fetchAgain(f *fetching, s *session, t watch.Replica, name string) {
	r.mu.Lock()
	newest := f.newest
	r.mu.Unlock()
	if s != nil && behind(t, newest) {
		r.fetch(s, t, name, newest)
	}
}

// otherSource returns an open session to another source than the one tried, preferably to
// the last that has announced the newest revision, nil for none. r.mu must be held.
func (r *Relay) otherSource(f *fetching, tried *session) (other *session) {
	for _, s := range r.sessions {
		if s != tried && s.open && (other == nil || s == f.announcer) {
			other = s
		}
	}
	return other
}

// fetchReplied records that a source has sent changes of a table, and fetches those that it
// did not have. advanced reports whether this host lacked some of the changes.
func (r *Relay) fetchReplied(s *session, t watch.Replica, name string, advanced bool) {
	own, _ := t.Revision()
	r.mu.Lock()
	f := r.fetches[name]
	if f == nil {
		r.mu.Unlock()
		return
	}
	if f.source == s || !own.Before(f.newest) {
		f.source = nil
	}
	f.failures = 0
	announcer := f.announcer
	if announcer != nil && r.sessions[announcer.host.ID] != announcer {
		announcer = nil // its session has ended
	}
	r.mu.Unlock()
	if advanced { // otherwise the next announcement or reply would bring no more
		r.fetchAgain(f, announcer, t, name)
	}
}

// fetchesEnded sends the fetches to another source for which a session that has ended was
// to bring replies.
func (r *Relay) fetchesEnded(s *session) {
	for name, t := range r.Tables {
		r.mu.Lock()
		f := r.fetches[name]
		if f == nil || f.source != s {
			r.mu.Unlock()
			continue
		}
		f.source = nil
		other := r.otherSource(f, s)
		r.mu.Unlock()
		r.fetchAgain(f, other, t, name)
	}
}
