package relay

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"siskinpath/core/revision"
	"siskinpath/siskinpathd/relay/relaypb"
	"siskinpath/siskinpathd/watch"
)

// addSource gives a host an open session to another source, whose messages the test delivers.
func addSource(listener *provenHost, id string, at revision.Revision) *link {
	l := connect(listener, newProvenHost(id, 0, at))
	listener.sessions[id] = l.session
	return l
}

// fetched returns the fetches that the listener has sent to a source.
func (l *link) fetched() (fetches []*relaypb.Fetch) {
	for len(l.session.out) > 0 {
		fetches = append(fetches, <-l.session.out)
	}
	return fetches
}

// reply makes the listener handle the source's reply to a fetch.
func (l *link) reply(f *relaypb.Fetch) {
	l.source.handleMessage(l.subscriber, &relaypb.FromListener{Fetches: []*relaypb.Fetch{f}})
	m := l.sent()
	So(l.listener.handleUpdates(l.session, m), ShouldBeNil)
	l.deliver(m)
}

// TestChangeIsFetchedOnce guards against slow links that carry each change once for each
// source and heartbeat: callers wait behind it.
func TestChangeIsFetchedOnce(t *testing.T) {
	Convey("a host whose three sources announce the same change, again and again", t, func() {
		h := newProvenHost("l", 0, at(7))
		a, b, c := addSource(h, "a", at(9)), addSource(h, "b", at(9)), addSource(h, "c", at(9))
		for range 3 {
			for _, l := range []*link{a, b, c} {
				l.deliver(l.announce())
			}
		}
		first := a.fetched()
		So(first, ShouldHaveLength, 1)
		Convey("fetches it from one of them", func() {
			So(b.fetched(), ShouldBeEmpty)
			So(c.fetched(), ShouldBeEmpty)
			a.reply(first[0])
			So(behind(h.table, at(9)), ShouldBeFalse)
			So(len(a.fetched())+len(b.fetched())+len(c.fetched()), ShouldEqual, 0)
		})
		Convey("fetches a later one as soon as the first has arrived, from the source that has it, past those in between", func() {
			b.source.read(at(11))
			b.deliver(b.announce())
			c.source.read(at(12))
			c.deliver(c.announce())
			So(len(b.fetched())+len(c.fetched()), ShouldEqual, 0)
			a.reply(first[0])
			So(b.fetched(), ShouldBeEmpty)
			second := c.fetched()
			So(second, ShouldHaveLength, 1)
			So(second[0].GetAfter(), ShouldEqual, 9)
		})
		Convey("fetches it from another one if there is no answer", func() {
			shouldBecome(func() bool { return len(b.session.out)+len(c.session.out) == 1 })
			So(a.fetched(), ShouldBeEmpty)
		})
		Convey("fetches it from one that has announced it since if there is no answer", func() {
			shouldBecome(func() bool { return len(b.session.out) == 1 })
			So(c.fetched(), ShouldBeEmpty)
		})
		Convey("fetches it from another one at once if the session is lost", func() {
			begin := time.Now()
			h.mu.Lock()
			delete(h.sessions, "a")
			h.mu.Unlock()
			h.repeatFetches(a.session)
			So(b.fetched(), ShouldHaveLength, 1)
			So(time.Since(begin), ShouldBeLessThan, fetchTimeout.Duration())
		})
		Convey("does not wait for a session that has ended while its fetch waited", func() {
			b.source.read(at(11))
			b.deliver(b.announce())
			h.mu.Lock()
			delete(h.sessions, "b")
			h.mu.Unlock()
			b.session.ended.Store(true)
			a.reply(first[0])
			So(b.fetched(), ShouldBeEmpty)
			So(len(a.fetched())+len(c.fetched()), ShouldEqual, 1)
		})
		Convey("fetches it again if the answer leaves a gap", func() {
			gap := &relaypb.Update{Table: "t", Version: 9, Base: 8, Rows: []*relaypb.Row{{Key: "k", Value: []byte("x"), Version: 9}}}
			m := a.announce()
			m.Updates = append(m.Updates, gap)
			So(h.handleUpdates(a.session, m), ShouldBeNil)
			a.deliver(m)
			So(len(a.fetched())+len(b.fetched())+len(c.fetched()), ShouldEqual, 1)
		})
	})
	Convey("a host that has a change by another way sends no fetch", t, func() {
		h := newProvenHost("l", 0, at(7))
		a := addSource(h, "a", at(9))
		m := a.announce()
		h.table.Merge(watch.Update{Revision: at(9), Base: at(7)})
		a.deliver(m)
		So(a.fetched(), ShouldBeEmpty)
	})
}
