package idempotency

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"

	"siskinpath/core/clock"
)

// mechanism is a part of the design that a test takes away to show what it is for.
type mechanism int

const (
	allOn         mechanism = iota
	noRetention             // ended records are dropped inside their window
	noReadBack              // a write whose reply was lost counts as applied
	noMaySend               // a request is sent without asking again
	noIncarnation           // a restarted host keeps its incarnation
	noClaimRow              // a claimant gives up whatever the row names
)

// Times of the fleet.
const (
	fleetSpan     = 60 * clock.Second
	newsDelay     = 400 * clock.Millisecond // until a host knows what became of another one
	writeTimeout  = 300 * clock.Millisecond
	passTimeout   = clock.Second
	hostCount     = 4
	keyCount      = 60
	tickEvery     = 100 * clock.Millisecond
	retainInFleet = 20 * clock.Second
	windowInFleet = 2 * clock.Second
)

// event is something that happens at a point in time.
type event struct {
	at  clock.Millis
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// figures are what a run of the fleet counted.
type figures struct {
	events, tries, runs, runsInOutage, violations int
	answered, notRun, unknown, lost               int
	claimWrites, claimTransactions, claimReads    int
	claimTries, takeOvers, lateNotRun             int
}

func (a *figures) add(b figures) {
	a.events += b.events
	a.tries += b.tries
	a.runs += b.runs
	a.runsInOutage += b.runsInOutage
	a.violations += b.violations
	a.answered += b.answered
	a.notRun += b.notRun
	a.unknown += b.unknown
	a.lost += b.lost
	a.claimWrites += b.claimWrites
	a.claimTransactions += b.claimTransactions
	a.claimReads += b.claimReads
	a.claimTries += b.claimTries
	a.takeOvers += b.takeOvers
	a.lateNotRun += b.lateNotRun
}

// fleet is hosts, a platform, an upstream and callers in virtual time.
type fleet struct {
	rand      *rand.Rand
	off       mechanism
	now       clock.Millis
	seq       int
	queue     eventHeap
	hosts     []*host
	processes map[uint64]*process
	cut       map[[2]string]bool
	rows      map[string]row
	down      bool
	keys      map[name]*keyHistory
	figures   figures
	firstBad  string
}

// row is a row of the platform.
type row struct {
	value   string
	version uint64
}

// keyHistory is what truly happened with a key.
type keyHistory struct {
	runs  int
	trace []string
}

func (f *fleet) at(d clock.Millis, run func()) {
	f.seq++
	heap.Push(&f.queue, event{f.now + d, f.seq, run})
}

func (f *fleet) chance(percent int) bool { return f.rand.IntN(100) < percent }

func (f *fleet) span(low, high clock.Millis) clock.Millis {
	return low + clock.Millis(f.rand.Int64N(int64(high-low+1)))
}

func (f *fleet) trace(n name, format string, args ...any) {
	h := f.history(n)
	h.trace = append(h.trace, fmt.Sprintf("%6d ", f.now)+fmt.Sprintf(format, args...))
}

func (f *fleet) history(n name) *keyHistory {
	if f.keys[n] == nil {
		f.keys[n] = &keyHistory{}
	}
	return f.keys[n]
}

func (f *fleet) violation(n name, format string, args ...any) {
	f.trace(n, "VIOLATION "+format, args...)
	f.figures.violations++
	if f.firstBad == "" {
		f.firstBad = n.organisation + "/" + n.key + "\n" + strings.Join(f.history(n).trace, "\n")
	}
}

// runFleet runs one seed to its end.
func runFleet(seed uint64, off mechanism) *fleet {
	f := &fleet{
		rand: rand.New(rand.NewPCG(seed, 7)), off: off,
		processes: map[uint64]*process{}, cut: map[[2]string]bool{}, rows: map[string]row{}, keys: map[name]*keyHistory{},
	}
	for i := range hostCount {
		h := &host{f: f, id: fmt.Sprintf("gh-%d", i+1)}
		f.hosts = append(f.hosts, h)
		h.start()
	}
	for i := range keyCount {
		f.at(f.span(0, fleetSpan), func() { f.newKey(i) })
	}
	f.faults()
	for len(f.queue) > 0 {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		f.figures.events++
		e.run()
	}
	return f
}

// faults plans kills, freezes, cuts and outages of the platform.
func (f *fleet) faults() {
	for range 4 {
		h := f.hosts[f.rand.IntN(hostCount)]
		f.at(f.span(0, fleetSpan), func() { h.kill(f.span(50, 5000)) })
	}
	for range 8 {
		h := f.hosts[f.rand.IntN(hostCount)]
		f.at(f.span(0, fleetSpan), func() { h.freeze(f.span(20, 8000)) })
	}
	for range 4 {
		pair := [2]string{f.hosts[f.rand.IntN(hostCount)].id, f.hosts[f.rand.IntN(hostCount)].id}
		at := f.span(0, fleetSpan)
		f.at(at, func() { f.cut[pair], f.cut[[2]string{pair[1], pair[0]}] = true, true })
		f.at(at+f.span(100, 6000), func() { f.cut[pair], f.cut[[2]string{pair[1], pair[0]}] = false, false })
	}
	for range 4 {
		at := f.span(0, 2*fleetSpan)
		f.at(at, func() { f.down = true })
		f.at(at+f.span(500, 12_000), func() { f.down = false })
	}
}

// newKey has a caller make a request with a new key, and retry it.
func (f *fleet) newKey(i int) {
	n := name{service: "payments", organisation: fmt.Sprintf("org-%d", f.rand.IntN(3)), key: fmt.Sprintf("k%d", i)}
	if h := f.hosts[f.rand.IntN(hostCount)]; f.chance(50) && h.process != nil {
		n.key = h.process.keeper.Prefix(f.now) + n.key
	}
	tries := 1 + f.rand.IntN(6)
	for t, at := 0, clock.Millis(0); t < tries; t++ {
		f.at(at, func() { f.try(n, t > 0) })
		at += f.span(0, 40)
		if f.chance(60) {
			at += f.span(100, 6000)
		}
		if f.chance(12) {
			at += 40 * clock.Second // long after everything was forgotten
		}
	}
}

// try is one request of a caller, at any host.
func (f *fleet) try(n name, retry bool) {
	h := f.hosts[f.rand.IntN(hostCount)]
	if h.process == nil {
		return
	}
	f.figures.tries++
	if _, _, prefixed := ParsePrefix(n.key); !prefixed {
		f.figures.claimTries++
	}
	c := &call{
		req: Request{
			Service: n.service, Organisation: n.organisation, Key: n.key, Fingerprint: 1,
			Deadline: f.now + f.span(30, 2500), Retry: retry,
		},
	}
	settled := false
	c.reply = func(r Reply, _ bool) {
		if settled {
			f.violation(n, "answered twice")
		}
		settled = true
		f.answered(n, c, r)
	}
	f.trace(n, "asks %s, deadline %d", h.id, c.req.Deadline)
	p := h.process
	p.do(0, func() { p.handle(c) })
	// Everyone has woken up by then: only the death of the host may cost the answer.
	f.at(20*clock.Second, func() {
		switch {
		case settled:
		case h.process != p:
			f.figures.lost++
		default:
			f.violation(n, "never answered")
		}
	})
}

// answered checks an answer against what truly happened.
func (f *fleet) answered(n name, c *call, r Reply) {
	runs := f.history(n).runs
	f.trace(n, "answer %d %s %s", r.Outcome, r.Reason, r.Body)
	switch r.Outcome {
	case Answered:
		f.figures.answered++
		if string(r.Body) != answerOf(n) || runs != 1 {
			f.violation(n, "answered %q after %d runs", r.Body, runs)
		}
	case NotRun:
		f.figures.notRun++
		c.refused = true
		if c.ran {
			f.violation(n, "not_run after it ran")
		}
		if runs > 0 && c.req.Retry {
			f.figures.lateNotRun++
		}
	case OutcomeUnknown:
		f.figures.unknown++
	}
}

func answerOf(n name) string { return "for " + n.organisation + "/" + n.key }

// execute is the upstream running a request, once it gets there. It returns false
// when the upstream refuses it.
func (f *fleet) execute(c *call) (ran bool) {
	n := nameOf(c.req)
	if f.chance(15) {
		f.trace(n, "upstream refuses")
		return false
	}
	h := f.history(n)
	h.runs++
	f.figures.runs++
	if f.down {
		f.figures.runsInOutage++
	}
	c.root().ran = true
	f.trace(n, "RUNS")
	if h.runs > 1 {
		f.violation(n, "ran %d times", h.runs)
	}
	if c.root().refused {
		f.violation(n, "ran after not_run")
	}
	return true
}
