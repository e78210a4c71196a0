package table

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"siskinpath/core/clock"
)

// mechanism is a part of the design that a test takes away to show what it is for.
type mechanism int

const (
	allOn        mechanism = iota
	noMajority             // a host without a table takes any copy
	noReadBack             // an edit whose reply was lost counts as refused
	noCheck                // an edit is written on whatever is there, without its base
	noHigherOnly           // a host takes what it is told last
)

// Times of the fleet.
const (
	fleetSpan   = 60 * clock.Second
	pollEvery   = 500 * clock.Millisecond
	gossipEvery = 200 * clock.Millisecond
	gossipTo    = 3
	inForceFor  = 2 * clock.Second // an accepted edit must be in force by then where the platform or enough peers are
	hostCount   = 8
	editCount   = 30
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

type figures struct {
	events, violations                           int
	accepted, merged, conflicts, uncertain, down int
	moves, fromPeers, heldBack, restarts         int
	dueByPlatform, dueByPeers                    int
}

func (a *figures) add(b figures) {
	a.events += b.events
	a.violations += b.violations
	a.accepted += b.accepted
	a.merged += b.merged
	a.conflicts += b.conflicts
	a.uncertain += b.uncertain
	a.down += b.down
	a.moves += b.moves
	a.fromPeers += b.fromPeers
	a.heldBack += b.heldBack
	a.restarts += b.restarts
	a.dueByPlatform += b.dueByPlatform
	a.dueByPeers += b.dueByPeers
}

// fleet is hosts, operators and a platform in virtual time.
type fleet struct {
	rand     *rand.Rand
	off      mechanism
	now      clock.Millis
	seq      int
	queue    eventHeap
	rows     map[string]PlatformRow
	down     bool
	upSince  clock.Millis // the platform
	hosts    []*host
	edits    []*operatorEdit
	figures  figures
	firstBad string
}

// operatorEdit is an edit of one operator: it sets the weight of one upstream.
type operatorEdit struct {
	editor   Editor
	upstream string
	weight   int
	end      Step
	ended    bool
}

func (f *fleet) at(d clock.Millis, run func()) {
	f.seq++
	heap.Push(&f.queue, event{f.now + d, f.seq, run})
}

func (f *fleet) chance(percent int) bool { return f.rand.IntN(100) < percent }

func (f *fleet) span(low, high clock.Millis) clock.Millis {
	return low + clock.Millis(f.rand.Int64N(int64(high-low+1)))
}

func (f *fleet) violation(format string, args ...any) {
	f.figures.violations++
	if f.firstBad == "" {
		f.firstBad = fmt.Sprintf("at %d: ", f.now) + fmt.Sprintf(format, args...)
	}
}

func runFleet(seed uint64, off mechanism) *fleet {
	f := &fleet{rand: rand.New(rand.NewPCG(seed, 11)), off: off, rows: map[string]PlatformRow{}}
	first := &operatorEdit{editor: Editor{EditID: "first", Mine: startTable()}, upstream: "u0", weight: DefaultWeight}
	f.begin(first)
	for i := range hostCount {
		h := &host{f: f, id: fmt.Sprintf("gh-%d", i+1), cutPeers: map[string]bool{}}
		f.hosts = append(f.hosts, h)
		h.start()
	}
	for i := range editCount {
		f.at(f.span(clock.Second, fleetSpan), func() { f.edit(i) })
	}
	f.faults()
	f.at(clock.Second, f.watch)
	for len(f.queue) > 0 {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		f.figures.events++
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

// faults plans outages, cuts, freezes and restarts.
func (f *fleet) faults() {
	for range 3 {
		at := f.span(2*clock.Second, fleetSpan)
		f.at(at, func() { f.down = true })
		f.at(at+f.span(500, 8000), func() { f.down, f.upSince = false, f.now })
	}
	for range 10 {
		h, at := f.hosts[f.rand.IntN(hostCount)], f.span(2*clock.Second, fleetSpan)
		f.at(at, func() { h.cutPlatform(true) })
		f.at(at+f.span(500, 9000), func() { h.cutPlatform(false) })
	}
	for range 10 {
		a, b := f.hosts[f.rand.IntN(hostCount)], f.hosts[f.rand.IntN(hostCount)]
		at := f.span(2*clock.Second, fleetSpan)
		f.at(at, func() { a.cutFrom(b, true) })
		f.at(at+f.span(500, 9000), func() { a.cutFrom(b, false) })
	}
	for range 10 {
		h := f.hosts[f.rand.IntN(hostCount)]
		f.at(f.span(2*clock.Second, fleetSpan), func() { h.restart(f.span(100, 4000)) })
	}
	for range 6 {
		h := f.hosts[f.rand.IntN(hostCount)]
		f.at(f.span(2*clock.Second, fleetSpan), func() { h.freeze(f.span(100, 6000)) })
	}
	for range 2 {
		f.split(f.span(2*clock.Second, fleetSpan))
	}
}

// split has a host miss some edits, and then another one restart that can reach
// only that one.
func (f *fleet) split(at clock.Millis) {
	old, fresh := f.hosts[f.rand.IntN(hostCount/2)], f.hosts[hostCount/2+f.rand.IntN(hostCount/2)]
	end := at + f.span(2000, 6000)
	f.at(at, func() { old.isolate(true, nil) })
	f.at(end, func() {
		old.isolate(true, fresh)
		fresh.isolate(true, old)
		fresh.restart(100)
	})
	f.at(end+f.span(1000, 3000), func() {
		old.isolate(false, nil)
		fresh.isolate(false, nil)
	})
}

// edit has an operator set a weight, starting from what the platform holds now.
func (f *fleet) edit(i int) {
	if f.down {
		return
	}
	base, err := parseCurrent(f.rows[RowKey])
	if err != nil {
		f.violation("operator can't read the table: %v", err)
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
	f.at(f.span(0, 3000), func() { f.begin(e) }) // the operator takes a while
}

func (f *fleet) begin(e *operatorEdit) {
	f.edits = append(f.edits, e)
	f.step(e, e.editor.Start())
}

// step carries out a step of an editor.
func (f *fleet) step(e *operatorEdit, s Step) {
	switch s.Kind {
	case StepRead:
		f.at(f.span(1, 20), func() { f.readFor(e, s) })
	case StepCommit:
		f.at(f.span(1, 20), func() { f.commitFor(e, s) })
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
	f.at(f.span(1, 20), func() { f.step(e, e.editor.RowsRead(rows)) })
}

// commitFor carries out a transaction. Its reply may be lost, and it may be
// applied late.
func (f *fleet) commitFor(e *operatorEdit, s Step) {
	lost := func() { f.step(e, e.editor.ReplyLost()) }
	if f.off == noReadBack {
		lost = func() { f.step(e, Step{Kind: StepUnavailable}) }
	}
	switch {
	case f.down && f.chance(50):
		f.step(e, e.editor.Unavailable(fmt.Errorf("refused")))
	case f.down:
		f.at(300, lost)
	case f.chance(25):
		if f.chance(70) {
			f.at(f.span(1, 3000), func() { f.apply(s) })
		}
		f.at(300, lost)
	case f.apply(s):
		f.at(f.span(1, 20), func() { f.step(e, e.editor.Committed(s.Checks[0].Version+1)) })
	default:
		f.at(f.span(1, 20), func() { f.step(e, e.editor.CheckFailed()) })
	}
}

// apply is the platform carrying out a transaction.
func (f *fleet) apply(s Step) bool {
	for _, c := range s.Checks {
		if f.off != noCheck && f.rows[c.Key].Version != c.Version {
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

// checkHistory checks that each version differs from the one before by what its
// edit set out to change, and by nothing else.
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
			f.violation("version %d can't be read: %v", v, err)
			return
		}
		for _, c := range Diff(before, is) {
			if before != nil && (c.Upstream != e.upstream || len(c.Cells) != 1 || c.Cells[0].New != fmt.Sprint(e.weight)) {
				f.violation("version %d, %s, also changes %v", v, row.EditID, c)
			}
		}
		before = is
	}
}

// checkEdits checks that what operators were told is true: an accepted edit is in
// the history once, and one that was refused for certain is not in it.
func (f *fleet) checkEdits() {
	times := map[string]int{}
	for v := uint64(1); v <= f.rows[RowKey].Version; v++ {
		row, _ := DecodeRow(f.rows[HistoryKey(v)].Value)
		times[row.EditID]++
	}
	for _, e := range f.edits {
		n := times[e.editor.EditID]
		switch {
		case !e.ended:
			f.violation("%s never ended", e.editor.EditID)
		case e.end.Kind == StepAccepted && !e.end.Unchanged && n != 1, n > 1:
			f.violation("%s accepted and %d times in the history", e.editor.EditID, n)
		case e.end.Kind != StepAccepted && !e.end.Uncertain && n > 0:
			f.violation("%s refused and in the history", e.editor.EditID)
		}
		f.count(e.end)
	}
}

func (f *fleet) count(s Step) {
	switch s.Kind {
	case StepAccepted:
		f.figures.accepted++
		if s.Merged {
			f.figures.merged++
		}
	case StepConflict:
		f.figures.conflicts++
	case StepUnavailable:
		f.figures.down++
		if s.Uncertain {
			f.figures.uncertain++
		}
	}
}
