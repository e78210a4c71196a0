package idempotency

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"

	"siskinpath/core/clock"
)

// mechanism is a safety mechanism that a test switches off to show that the
// simulation detects its absence.
type mechanism int

const (
	allOn         mechanism = iota
	noRetention             // ended records are dropped before their window ends
	noReadBack              // a write whose reply was lost is treated as committed
	noMaySend               // a request is sent even when MaySend returns false
	noIncarnation           // a restarted host keeps its incarnation
	noClaimRow              // a claimant gives up its claim without checking the row
)

// Parameters of the simulation.
const (
	fleetSpan      = 60 * clock.Second
	statusDelay    = 400 * clock.Millisecond // until a host learns that another has frozen or ended
	writeTimeout   = 300 * clock.Millisecond
	forwardTimeout = clock.Second
	hostCount      = 4
	keyCount       = 60
	tickEvery      = 100 * clock.Millisecond
	retainInFleet  = 20 * clock.Second
	windowInFleet  = 2 * clock.Second
)

// event is a function to run at a point in virtual time.
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

// figures are the counters of one or more simulation runs.
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

// fleet simulates hosts, a platform, an upstream and callers in virtual time.
type fleet struct {
	rand           *rand.Rand
	disabled       mechanism
	now            clock.Millis
	seq            int
	queue          eventHeap
	hosts          []*host
	processes      map[uint64]*process
	cut            map[[2]string]bool
	rows           map[string]row
	down           bool
	keys           map[scopedKey]*keyHistory
	figures        figures
	firstViolation string
}

// row is a row of the platform's table service.
type row struct {
	value   string
	version uint64
}

// keyHistory records how often the upstream ran a key, with a trace.
type keyHistory struct {
	runs  int
	trace []string
}

func (f *fleet) at(d clock.Millis, run func()) {
	f.seq++
	heap.Push(&f.queue, event{f.now + d, f.seq, run})
}

func (f *fleet) chance(percent int) bool { return f.rand.IntN(100) < percent }

func (f *fleet) randomSpan(low, high clock.Millis) clock.Millis {
	return low + clock.Millis(f.rand.Int64N(int64(high-low+1)))
}

func (f *fleet) trace(key scopedKey, format string, args ...any) {
	h := f.history(key)
	h.trace = append(h.trace, fmt.Sprintf("%6d ", f.now)+fmt.Sprintf(format, args...))
}

func (f *fleet) history(key scopedKey) *keyHistory {
	if f.keys[key] == nil {
		f.keys[key] = &keyHistory{}
	}
	return f.keys[key]
}

func (f *fleet) violation(key scopedKey, format string, args ...any) {
	f.trace(key, "VIOLATION "+format, args...)
	f.figures.violations++
	if f.firstViolation == "" {
		f.firstViolation = key.organisation + "/" + key.key + "\n" + strings.Join(f.history(key).trace, "\n")
	}
}

// runFleet simulates one seed until no event is left.
func runFleet(seed uint64, disabled mechanism) *fleet {
	f := &fleet{
		rand: rand.New(rand.NewPCG(seed, 7)), disabled: disabled,
		processes: map[uint64]*process{}, cut: map[[2]string]bool{}, rows: map[string]row{}, keys: map[scopedKey]*keyHistory{},
	}
	for i := range hostCount {
		h := &host{f: f, id: fmt.Sprintf("gh-%d", i+1)}
		f.hosts = append(f.hosts, h)
		h.start()
	}
	for i := range keyCount {
		f.at(f.randomSpan(0, fleetSpan), func() { f.newKey(i) })
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

// faults schedules kills, freezes, cut links and outages of the platform.
func (f *fleet) faults() {
	for range 4 {
		h := f.hosts[f.rand.IntN(hostCount)]
		f.at(f.randomSpan(0, fleetSpan), func() { h.kill(f.randomSpan(50, 5000)) })
	}
	for range 8 {
		h := f.hosts[f.rand.IntN(hostCount)]
		f.at(f.randomSpan(0, fleetSpan), func() { h.freeze(f.randomSpan(20, 8000)) })
	}
	for range 4 {
		pair := [2]string{f.hosts[f.rand.IntN(hostCount)].id, f.hosts[f.rand.IntN(hostCount)].id}
		at := f.randomSpan(0, fleetSpan)
		f.at(at, func() { f.cut[pair], f.cut[[2]string{pair[1], pair[0]}] = true, true })
		f.at(at+f.randomSpan(100, 6000), func() { f.cut[pair], f.cut[[2]string{pair[1], pair[0]}] = false, false })
	}
	for range 4 {
		at := f.randomSpan(0, 2*fleetSpan)
		f.at(at, func() { f.down = true })
		f.at(at+f.randomSpan(500, 12_000), func() { f.down = false })
	}
}

// newKey schedules a caller's request with a new key, and its retries.
func (f *fleet) newKey(i int) {
	key := scopedKey{service: "payments", organisation: fmt.Sprintf("org-%d", f.rand.IntN(3)), key: fmt.Sprintf("k%d", i)}
	if h := f.hosts[f.rand.IntN(hostCount)]; f.chance(50) && h.process != nil {
		key.key = h.process.registry.Prefix(f.now) + key.key
	}
	tries := 1 + f.rand.IntN(6)
	for t, at := 0, clock.Millis(0); t < tries; t++ {
		f.at(at, func() { f.try(key, t > 0) })
		at += f.randomSpan(0, 40)
		if f.chance(60) {
			at += f.randomSpan(100, 6000)
		}
		if f.chance(12) {
			at += 40 * clock.Second // after all records of the key have expired
		}
	}
}

// try sends one request of a caller to a random host.
func (f *fleet) try(key scopedKey, retry bool) {
	h := f.hosts[f.rand.IntN(hostCount)]
	if h.process == nil {
		return
	}
	f.figures.tries++
	if _, _, prefixed := ParsePrefix(key.key); !prefixed {
		f.figures.claimTries++
	}
	c := &call{
		req: Request{
			Service: key.service, Organisation: key.organisation, Key: key.key, Fingerprint: 1,
			Deadline: f.now + f.randomSpan(30, 2500), Retry: retry,
		},
	}
	settled := false
	c.reply = func(r Reply, _ bool) {
		if settled {
			f.violation(key, "the caller was answered twice")
		}
		settled = true
		f.answered(key, c, r)
	}
	f.trace(key, "asks %s, deadline %d", h.id, c.req.Deadline)
	p := h.process
	p.do(0, func() { p.handle(c) })
	// Every frozen host has woken by then, so the answer may be missing only if the
	// host's process has ended.
	f.at(20*clock.Second, func() {
		switch {
		case settled:
		case h.process != p:
			f.figures.lost++
		default:
			f.violation(key, "the caller was never answered")
		}
	})
}

// answered checks an answer against the history of its key.
func (f *fleet) answered(key scopedKey, c *call, r Reply) {
	runs := f.history(key).runs
	f.trace(key, "answer %d %s %s", r.Outcome, r.Reason, r.Body)
	switch r.Outcome {
	case Answered:
		f.figures.answered++
		if string(r.Body) != answerOf(key) || runs != 1 {
			f.violation(key, "answered %q after %d runs", r.Body, runs)
		}
	case NotRun:
		f.figures.notRun++
		c.refused = true
		if c.ran {
			f.violation(key, "not_run after it ran")
		}
		if runs > 0 && c.req.Retry {
			f.figures.lateNotRun++
		}
	case OutcomeUnknown:
		f.figures.unknown++
	}
}

func answerOf(key scopedKey) string { return "for " + key.organisation + "/" + key.key }

// execute simulates the upstream receiving a request. It returns false when the
// upstream refuses it.
func (f *fleet) execute(c *call) (ran bool) {
	key := scopedKeyOf(c.req)
	if f.chance(15) {
		f.trace(key, "upstream refuses")
		return false
	}
	h := f.history(key)
	h.runs++
	f.figures.runs++
	if f.down {
		f.figures.runsInOutage++
	}
	c.root().ran = true
	f.trace(key, "RUNS")
	if h.runs > 1 {
		f.violation(key, "ran %d times", h.runs)
	}
	if c.root().refused {
		f.violation(key, "ran after not_run")
	}
	return true
}
