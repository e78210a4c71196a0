// Package fleetsim drives many hosts' decision machines in one process and in
// virtual time, with small fakes of the platform and of the links between
// hosts. It exists for tests: faults come from a seed, and what must always
// hold is checked after each event.
package fleetsim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"siskinpath/core/clock"
	"siskinpath/core/membership"
	"siskinpath/core/table"
)

// Config describes a fleet. Only Seed and Hosts are needed.
type Config struct {
	Seed          uint64
	Hosts         int
	Zones         []string               // hosts are spread over them in turn; default 3
	Table         *table.Table           // default SmallTable
	ConfigureView func(*membership.View) // changes a view before its first event
	Links         LinkFaults             // while faults last
	Trace         func(line string)      // told of every change worth a line
	Ablation      Ablation               // mechanisms switched off
	Start         map[int]clock.Millis   // hosts that start later than at 0
}

// Ablation switches a mechanism off at the interfaces of the decision machines, to
// show that the checks notice.
type Ablation struct {
	Heartbeat      func(to *Host, beat membership.Heartbeat) membership.Heartbeat // changes what a host hears
	Assignment     func(a membership.Assignment) membership.Assignment            // changes what a host writes
	TimeReadsAtEnd bool                                                           // a read of the platform counts from its end
	KeepBuckets    bool                                                           // a right lost doesn't empty its bucket
}

// Fleet is the hosts, the platform, the links and the clock.
type Fleet struct {
	Config
	Now      clock.Millis
	Events   int
	Hosts    []*Host // by index; a restart replaces the process in place
	Platform *Platform
	Links    *Links
	Checker  *Checker

	original *table.Table // before any edit

	rand  *rand.Rand
	queue eventQueue
	seq   uint64
}

// New returns a fleet whose hosts start at once.
func New(cfg Config) *Fleet {
	f := &Fleet{Config: cfg, rand: rand.New(rand.NewPCG(cfg.Seed, 1))}
	if len(f.Zones) == 0 {
		f.Zones = []string{"gh-mid-a", "gh-mid-b", "gh-mid-c"}
	}
	if f.Table == nil {
		f.Table = SmallTable(f.Zones)
	}
	f.original = f.Table
	f.Platform = &Platform{fleet: f, Up: true}
	f.Links = &Links{fleet: f, cut: map[[2]int]bool{}, oneWay: map[[2]int]bool{}, faults: cfg.Links}
	f.Checker = &Checker{fleet: f, holders: map[string]map[*Host]bool{}, probes: map[string][]clock.Millis{}, inFlight: map[string]map[*membership.View]int{}}
	for i := range cfg.Hosts {
		f.add(i)
	}
	return f
}

func (f *Fleet) add(i int) {
	h := &Host{fleet: f, Index: i, ID: fmt.Sprintf("gh-%02d", i+1), Zone: f.Zones[i%len(f.Zones)]}
	f.Hosts = append(f.Hosts, h)
	f.at(f.Start[i]+f.between(0, 50), func() { h.Boot() })
}

// Run goes on to a point in time, or to the first violation.
func (f *Fleet) Run(until clock.Millis) {
	for len(f.queue) > 0 && f.queue[0].at <= until && f.Checker.Violation == "" {
		e := heap.Pop(&f.queue).(event)
		f.Now = max(f.Now, e.at)
		f.Events++
		e.do()
	}
	f.Now = max(f.Now, until)
}

// RunUntil runs in small steps until done, at most to the point in time given.
func (f *Fleet) RunUntil(until clock.Millis, done func() bool) bool {
	const step = 100 * clock.Millisecond
	for f.Now < until && f.Checker.Violation == "" {
		if done() {
			return true
		}
		f.Run(f.Now + step)
	}
	return done()
}

// Served says whether every upstream has a running holder of the full right.
func (f *Fleet) Served() bool {
	for i := range f.Table.Services {
		for _, u := range f.Table.Services[i].Upstreams {
			if f.Checker.Holder(membership.UpstreamKey(u.Service, u.Name)) == nil {
				return false
			}
		}
	}
	return true
}

func (f *Fleet) tracef(format string, args ...any) {
	if f.Trace != nil {
		f.Trace(fmt.Sprintf("%7d ms  ", f.Now) + fmt.Sprintf(format, args...))
	}
}

// between draws a span from the fleet's random source, both ends included.
func (f *Fleet) between(low, high clock.Millis) clock.Millis {
	return low + clock.Millis(f.rand.Int64N(int64(high-low+1)))
}

// chance draws true with the given probability.
func (f *Fleet) chance(p float64) bool { return f.rand.Float64() < p }

// event is something to do at a point in time; those of one time in the order made.
type event struct {
	at  clock.Millis
	seq uint64
	do  func()
}

func (f *Fleet) at(at clock.Millis, do func()) {
	f.seq++
	heap.Push(&f.queue, event{at: at, seq: f.seq, do: do})
}

func (f *Fleet) after(d clock.Millis, do func()) { f.at(f.Now+d, do) }

type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// SmallTable is the Ghana deployment: booking with 25 upstreams, payments with 6.
func SmallTable(zones []string) *table.Table {
	return &table.Table{Version: 1, Services: []table.Service{
		service("booking", 25, 10, zones),
		service("payments", 6, 3, zones),
	}}
}

// LargeTable is the size to design for: 450 upstreams in 14 services.
func LargeTable(zones []string) *table.Table {
	t := &table.Table{Version: 1}
	left := 450
	for i := range 14 {
		n := left / (14 - i)
		left -= n
		t.Services = append(t.Services, service(fmt.Sprintf("service-%02d", i+1), n, 10, zones))
	}
	return t
}

// slots of every upstream.
const slots = 4

func service(name string, upstreams int, probes float64, zones []string) table.Service {
	s := table.Service{Name: name, ProbesPerSecond: probes}
	for i := range upstreams {
		s.Upstreams = append(s.Upstreams, table.Upstream{
			Service: name, Name: fmt.Sprintf("%s-%02d", name[:1], i+1), AvailabilityZone: zones[i%len(zones)],
			Weight: 100, Slots: slots, State: table.Active,
		})
	}
	return s
}
