package table

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"siskinpath/core/clock"
)

// mechanism is a safety mechanism of the design. A test disables it to show that
// the checks fail without it.
type mechanism int

const (
	allEnabled   mechanism = iota
	noMajority             // a host without a table applies any copy
	noReadBack             // an edit whose reply was lost is reported as rejected
	noCheck                // an edit is written without checking that its base is current
	noHigherOnly           // a host applies the last version read, even a lower one
)

// Parameters of the simulation.
const (
	simulatedTime    = 60 * clock.Second
	pollEvery        = 500 * clock.Millisecond
	gossipEvery      = 200 * clock.Millisecond
	gossipFanout     = 3
	propagationLimit = 2 * clock.Second // limit for an accepted edit to be in force on a host that reaches the platform or enough peers
	hostCount        = 8
	editCount        = 30
)

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
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

type stats struct {
	events, violations                             int
	accepted, merged, conflicts, uncertain, down   int
	versionsApplied, fromPeers, deferred, restarts int
	checkedViaPlatform, checkedViaPeers            int
}

func (a *stats) add(b stats) {
	a.events += b.events
	a.violations += b.violations
	a.accepted += b.accepted
	a.merged += b.merged
	a.conflicts += b.conflicts
	a.uncertain += b.uncertain
	a.down += b.down
	a.versionsApplied += b.versionsApplied
	a.fromPeers += b.fromPeers
	a.deferred += b.deferred
	a.restarts += b.restarts
	a.checkedViaPlatform += b.checkedViaPlatform
	a.checkedViaPeers += b.checkedViaPeers
}

// fleet simulates hosts, operators and a platform in virtual time.
type fleet struct {
	rand           *rand.Rand
	disabled       mechanism
	now            clock.Millis
	seq            int
	queue          eventHeap
	rows           map[string]PlatformRow
	down           bool
	upSince        clock.Millis // since when the platform is up
	hosts          []*host
	edits          []*operatorEdit
	stats          stats
	firstViolation string
}

// operatorEdit is an edit by an operator that sets the weight of one upstream.
type operatorEdit struct {
	editor   Editor
	upstream string
	weight   int
	end      Step
	ended    bool
}

// at schedules run after the delay d.
func (f *fleet) at(d clock.Millis, run func()) {
	f.seq++
	heap.Push(&f.queue, event{f.now + d, f.seq, run})
}

func (f *fleet) chance(percent int) bool { return f.rand.IntN(100) < percent }

func (f *fleet) randomBetween(low, high clock.Millis) clock.Millis {
	return low + clock.Millis(f.rand.Int64N(int64(high-low+1)))
}

func (f *fleet) violation(format string, args ...any) {
	f.stats.violations++
	if f.firstViolation == "" {
		f.firstViolation = fmt.Sprintf("at %d: ", f.now) + fmt.Sprintf(format, args...)
	}
}

func runFleet(seed uint64, disabled mechanism) *fleet {
	f := &fleet{rand: rand.New(rand.NewPCG(seed, 11)), disabled: disabled, rows: map[string]PlatformRow{}}
	first := &operatorEdit{editor: Editor{EditID: "first", Mine: startTable()}, upstream: "u0", weight: DefaultWeight}
	f.begin(first)
	for i := range hostCount {
		h := &host{f: f, id: fmt.Sprintf("gh-%d", i+1), cutPeers: map[string]bool{}}
		f.hosts = append(f.hosts, h)
		h.start()
	}
	for i := range editCount {
		f.at(f.randomBetween(clock.Second, simulatedTime), func() { f.edit(i) })
	}
	f.planFaults()
	f.at(clock.Second, f.checkPropagation)
	for len(f.queue) > 0 {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		f.stats.events++
		e.run()
	}
	f.checkHistory()
	f.checkEdits()
	return f
}

func startTable() *Table {
	t := &Table{Services: []Service{{Name: "booking", MaxDeadline: DefaultMaxDeadlineMs}}}
	for i := range 6 {
		t.Services[0].Upstreams = append(t.Services[0].Upstreams, Upstream{
			Service: "booking", Name: fmt.Sprintf("u%d", i), Address: fmt.Sprintf("10.0.0.%d:80", i+1),
			AvailabilityZone: "gh-mid-a", Weight: DefaultWeight, Slots: 4, Connections: 300, State: Active,
		})
	}
	return t
}

// planFaults schedules platform outages, link failures, freezes and restarts.
func (f *fleet) planFaults() {
	for range 3 {
		at := f.randomBetween(2*clock.Second, simulatedTime)
		f.at(at, func() { f.down = true })
		f.at(at+f.randomBetween(500, 8000), func() { f.down, f.upSince = false, f.now })
	}
	for range 10 {
		h, at := f.hosts[f.rand.IntN(hostCount)], f.randomBetween(2*clock.Second, simulatedTime)
		f.at(at, func() { h.cutPlatform(true) })
		f.at(at+f.randomBetween(500, 9000), func() { h.cutPlatform(false) })
	}
	for range 10 {
		a, b := f.hosts[f.rand.IntN(hostCount)], f.hosts[f.rand.IntN(hostCount)]
		at := f.randomBetween(2*clock.Second, simulatedTime)
		f.at(at, func() { a.cutFrom(b, true) })
		f.at(at+f.randomBetween(500, 9000), func() { a.cutFrom(b, false) })
	}
	for range 10 {
		h := f.hosts[f.rand.IntN(hostCount)]
		f.at(f.randomBetween(2*clock.Second, simulatedTime), func() { h.restart(f.randomBetween(100, 4000)) })
	}
	for range 6 {
		h := f.hosts[f.rand.IntN(hostCount)]
		f.at(f.randomBetween(2*clock.Second, simulatedTime), func() { h.freeze(f.randomBetween(100, 6000)) })
	}
	for range 2 {
		f.restartNextToStale(f.randomBetween(2*clock.Second, simulatedTime))
	}
}

// restartNextToStale schedules a fault in which one host misses some edits and then
// another host restarts that can reach only the first one.
func (f *fleet) restartNextToStale(at clock.Millis) {
	stale, restarted := f.hosts[f.rand.IntN(hostCount/2)], f.hosts[hostCount/2+f.rand.IntN(hostCount/2)]
	end := at + f.randomBetween(2000, 6000)
	f.at(at, func() { stale.isolate(true, nil) })
	f.at(end, func() {
		stale.isolate(true, restarted)
		restarted.isolate(true, stale)
		restarted.restart(100)
	})
	f.at(end+f.randomBetween(1000, 3000), func() {
		stale.isolate(false, nil)
		restarted.isolate(false, nil)
	})
}

// edit starts an operator's edit of a weight, based on the platform's current table.
func (f *fleet) edit(i int) {
	if f.down {
		return
	}
	base, err := parseCurrent(f.rows[RowKey])
	if err != nil {
		f.violation("the platform's table can't be parsed: %v", err)
	}
	if base == nil {
		return
	}
	e := &operatorEdit{upstream: fmt.Sprintf("u%d", f.rand.IntN(6)), weight: 101 + i}
	mine, err := SetCells(base, "booking", e.upstream, []CellValue{{ColumnWeight, fmt.Sprint(e.weight)}}, false)
	if err != nil {
		f.violation("set: %v", err)
		return
	}
	e.editor = Editor{EditID: fmt.Sprintf("edit-%d", i), Base: base, Mine: mine}
	f.at(f.randomBetween(0, 3000), func() { f.begin(e) }) // the time between reading the table and committing the edit
}

func (f *fleet) begin(e *operatorEdit) {
	f.edits = append(f.edits, e)
	f.step(e, e.editor.Start())
}

// step performs the action that an editor asks for.
func (f *fleet) step(e *operatorEdit, s Step) {
	switch s.Kind {
	case StepRead:
		f.at(f.randomBetween(1, 20), func() { f.readFor(e, s) })
	case StepCommit:
		f.at(f.randomBetween(1, 20), func() { f.commitFor(e, s) })
	default:
		e.end, e.ended = s, true
	}
}

func (f *fleet) readFor(e *operatorEdit, s Step) {
	if f.down {
		f.at(200, func() { f.step(e, e.editor.Unavailable(fmt.Errorf("outage"))) })
		return
	}
	var rows []PlatformRow
	for _, key := range s.Keys {
		row := f.rows[key]
		row.Key = key
		rows = append(rows, row)
	}
	f.at(f.randomBetween(1, 20), func() { f.step(e, e.editor.RowsRead(rows)) })
}

// commitFor sends a transaction to the platform. The reply may be lost, and the
// transaction may be applied late.
func (f *fleet) commitFor(e *operatorEdit, s Step) {
	lost := func() { f.step(e, e.editor.ReplyLost()) }
	if f.disabled == noReadBack {
		lost = func() { f.step(e, Step{Kind: StepUnavailable}) }
	}
	switch {
	case f.down && f.chance(50):
		f.step(e, e.editor.Unavailable(fmt.Errorf("connection refused")))
	case f.down:
		f.at(300, lost)
	case f.chance(25):
		if f.chance(70) {
			f.at(f.randomBetween(1, 3000), func() { f.apply(s) })
		}
		f.at(300, lost)
	case f.apply(s):
		f.at(f.randomBetween(1, 20), func() { f.step(e, e.editor.Committed(s.Checks[0].Version+1)) })
	default:
		f.at(f.randomBetween(1, 20), func() { f.step(e, e.editor.CheckFailed()) })
	}
}

// apply runs a transaction on the platform and reports whether its checks passed.
func (f *fleet) apply(s Step) bool {
	for _, c := range s.Checks {
		if f.disabled != noCheck && f.rows[c.Key].Version != c.Version {
			return false
		}
	}
	for i, p := range s.Puts {
		key := p.Key
		if i == 1 {
			key = HistoryKey(f.rows[RowKey].Version)
		}
		f.rows[key] = PlatformRow{Key: key, Value: p.Value, Version: f.rows[key].Version + 1}
	}
	return true
}

// checkHistory checks that each version differs from the previous one only by the
// change that its edit intended.
func (f *fleet) checkHistory() {
	byID := map[string]*operatorEdit{}
	for _, e := range f.edits {
		byID[e.editor.EditID] = e
	}
	var before *Table
	for v := uint64(1); v <= f.rows[RowKey].Version; v++ {
		row, err := DecodeRow(f.rows[HistoryKey(v)].Value)
		is, _ := Parse([]byte(row.CSV))
		e := byID[row.EditID]
		if err != nil || is == nil || e == nil {
			f.violation("version %d can't be decoded: %v", v, err)
			return
		}
		for _, c := range Diff(before, is) {
			if before != nil && (c.Upstream != e.upstream || len(c.Cells) != 1 || c.Cells[0].New != fmt.Sprint(e.weight)) {
				f.violation("version %d by %s changes more than it intended: %v", v, row.EditID, c)
			}
		}
		before = is
	}
}

// checkEdits checks that the result reported to each operator is true: an accepted
// edit is in the history once, and an edit that was certainly rejected isn't in it.
func (f *fleet) checkEdits() {
	occurrences := map[string]int{}
	for v := uint64(1); v <= f.rows[RowKey].Version; v++ {
		row, _ := DecodeRow(f.rows[HistoryKey(v)].Value)
		occurrences[row.EditID]++
	}
	for _, e := range f.edits {
		n := occurrences[e.editor.EditID]
		switch {
		case !e.ended:
			f.violation("%s never ended", e.editor.EditID)
		case e.end.Kind == StepAccepted && !e.end.Unchanged && n != 1, n > 1:
			f.violation("%s was accepted but is %d times in the history", e.editor.EditID, n)
		case e.end.Kind != StepAccepted && !e.end.Uncertain && n > 0:
			f.violation("%s was rejected but is in the history", e.editor.EditID)
		}
		f.count(e.end)
	}
}

func (f *fleet) count(s Step) {
	switch s.Kind {
	case StepAccepted:
		f.stats.accepted++
		if s.Merged {
			f.stats.merged++
		}
	case StepConflict:
		f.stats.conflicts++
	case StepUnavailable:
		f.stats.down++
		if s.Uncertain {
			f.stats.uncertain++
		}
	}
}
