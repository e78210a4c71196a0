package relay

import (
	"cmp"
	"sync"
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
	// fetchQueueSize is the number of fetches that may wait to be sent: two for each
	// table.
	fetchQueueSize = 4
)

// fetch is a request for the changes of a table up to a revision.
type fetch struct {
	table   string
	replica watch.Replica
	at      revision.Revision
	session *session
	next    *fetch // the newest of those that wait until this one ends, often from another source; nil for none
	timeout clock.Millis
}

// fetches holds the fetch of each table that has not been answered. A table has one at a
// time: all sources announce the same changes, and again with each heartbeat until they have
// arrived, so that a slow link would carry each change several times.
//
// Its lock is taken before those of tables and Relay.mu.
type fetches struct {
	mu      sync.Mutex
	byTable map[string]*fetch
}

// fetch sends f, or lets it wait until an earlier fetch of the table ends. If the changes have
// not arrived after fetchTimeout, they are requested from another source.
func (r *Relay) fetch(f *fetch) {
	r.fetches.mu.Lock()
	defer r.fetches.mu.Unlock()
	r.sendFetch(f)
}

// sendFetch is fetch with the lock held. A session that has ended since the announcement is
// replaced by another one.
func (r *Relay) sendFetch(f *fetch) {
	after, known := f.replica.Revision()
	if known && !after.Before(f.at) {
		return
	}
	if pending := r.fetches.byTable[f.table]; pending != nil {
		repeated := f.session == pending.session && !pending.at.Before(f.at)
		if !repeated && (pending.next == nil || pending.next.at.Before(f.at)) {
			pending.next = f
		}
		return
	}
	if f.session.ended.Load() {
		if f.session = r.otherSession(f.session); f.session == nil {
			return
		}
	}
	if !known {
		after.Version = -1
	}
	select {
	case f.session.out <- &relaypb.Fetch{Table: f.table, After: after.Version, Era: &after.Era, ReadsPacked: !f.session.sentInvalid.Load()}:
	default:
		return // earlier fetches are still waiting to be sent
	}
	if r.fetches.byTable == nil {
		r.fetches.byTable = map[string]*fetch{}
	}
	r.fetches.byTable[f.table] = f
	f.timeout = max(f.timeout, fetchTimeout)
	time.AfterFunc(f.timeout.Duration(), func() { r.repeatFetch(f) })
}

// endFetch records that a source has sent an update of a table, and sends the fetch that
// has waited for it.
func (r *Relay) endFetch(s *session, table string) {
	r.fetches.mu.Lock()
	defer r.fetches.mu.Unlock()
	f := r.fetches.byTable[table]
	if f == nil || f.session != s && behind(f.replica, f.at) {
		return
	}
	delete(r.fetches.byTable, table)
	if f.next != nil {
		r.sendFetch(f.next)
	}
}

// repeatFetch sends f to another source, if there is one, unless it has been answered.
func (r *Relay) repeatFetch(f *fetch) {
	r.fetches.mu.Lock()
	defer r.fetches.mu.Unlock()
	if r.fetches.byTable[f.table] != f {
		return
	}
	delete(r.fetches.byTable, f.table)
	again := &fetch{table: f.table, replica: f.replica, at: f.at, timeout: min(maxFetchTimeout, 2*f.timeout)}
	if f.next != nil {
		again.at, again.session = f.next.at, f.next.session
	}
	if again.session == nil || again.session == f.session {
		again.session = cmp.Or(r.otherSession(f.session), f.session)
	}
	r.sendFetch(again)
}

// otherSession returns an open session to another source, nil for none.
func (r *Relay) otherSession(tried *session) (other *session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.sessions {
		if s != tried && s.open {
			other = s
		}
	}
	return other
}

// repeatFetches sends the unanswered fetches of a session that has ended to other sources.
func (r *Relay) repeatFetches(ended *session) {
	r.fetches.mu.Lock()
	var pending []*fetch
	for _, f := range r.fetches.byTable {
		if f.session == ended {
			pending = append(pending, f)
		}
	}
	r.fetches.mu.Unlock()
	for _, f := range pending {
		r.repeatFetch(f)
	}
}
