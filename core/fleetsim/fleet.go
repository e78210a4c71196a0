// Package fleetsim is a deterministic simulation of a fleet of hosts, for tests.
// It runs the state machines of many hosts in one process and in virtual time,
// with fakes of the platform and of the links between hosts. A seed determines
// the faults, and invariants are checked after each event.
package fleetsim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"siskinpath/core/clock"
	"siskinpath/core/membership"
	"siskinpath/core/table"
)

// Config configures a Fleet. Only Seed and Hosts are required.
type Config struct {
	Seed          uint64
	Hosts         int
	Zones         []string               // hosts are assigned to them in turn; default 3 zones
	Table         *table.Table           // default SmallTable
	ConfigureView func(*membership.View) // changes a view's settings before its first event
	Links         LinkFaults             // until Heal
	Trace         func(line string)      // receives a line for each notable event
	Ablation      Ablation               // safety mechanisms that are switched off
	Start         map[int]clock.Millis   // start times of hosts that don't start at 0, by index
}

// Ablation switches a safety mechanism off at the interfaces of the state
// machines, to show that the checks detect its absence.
type Ablation struct {
	Heartbeat      func(to *Host, beat membership.Heartbeat) membership.Heartbeat // changes a heartbeat before it is delivered
	Assignment     func(a membership.Assignment) membership.Assignment            // changes an assignment before it is written
	TimeReadsAtEnd bool                                                           // a read of the platform is dated from its end instead of its start
	KeepBuckets    bool                                                           // losing a right doesn't drop its probe bucket
}

// Fleet is a simulated fleet: hosts, platform, links and virtual clock.
type Fleet struct {
	Config
	Now      clock.Millis
	Events   int
	Hosts    []*Host // by index; a restart replaces the process of a host, not the Host
	Platform *Platform
	Links    *Links
	Checker  *Checker

	original *table.Table // the table before any EditTable

	rand  *rand.Rand
	queue eventQueue
	seq   uint64
}

// New returns a fleet whose hosts start at Config.Start, within 50 ms.
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
		f.addHost(i)
	}
	return f
}

func (f *Fleet) addHost(i int) {
	h := &Host{fleet: f, Index: i, ID: fmt.Sprintf("gh-%02d", i+1), Zone: f.Zones[i%len(f.Zones)]}
	f.Hosts = append(f.Hosts, h)
	f.at(f.Start[i]+f.randomSpan(0, 50), func() { h.Boot() })
}

// Run simulates up to a point in time, or to the first violation.
func (f *Fleet) Run(until clock.Millis) {
	for len(f.queue) > 0 && f.queue[0].at <= until && f.Checker.Violation == "" {
		e := heap.Pop(&f.queue).(event)
		f.Now = max(f.Now, e.at)
		f.Events++
		e.do()
	}
	f.Now = max(f.Now, until)
}

// RunUntil simulates in steps of 100 ms until done returns true, at most up to
// the given time. It returns the final result of done.
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

// Served reports whether every upstream has a running holder of the full right.
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

// randomSpan draws a span from low to high inclusive from the fleet's random source.
func (f *Fleet) randomSpan(low, high clock.Millis) clock.Millis {
	return low + clock.Millis(f.rand.Int64N(int64(high-low+1)))
}

// chance returns true with probability p.
func (f *Fleet) chance(p float64) bool { return f.rand.Float64() < p }

// event is a function to run at a point in virtual time. Events of the same time
// run in the order of their creation.
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

// SmallTable returns a table of the size of the Ghana deployment: the service
// booking with 25 upstreams and payments with 6.
func SmallTable(zones []string) *table.Table {
	return &table.Table{Version: 1, Services: []table.Service{
		service("booking", 25, 10, zones),
		service("payments", 6, 3, zones),
	}}
}

// LargeTable returns a table of the size to design for: 450 upstreams in 14
// services.
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

// slots is the number of slots of each upstream.
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
