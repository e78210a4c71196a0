package follow

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
	"siskinpath/core/member"
	"siskinpath/core/table"
	"siskinpath/siskinpathd/platform"
)

// fakePlatform holds rows in memory. Each call goes through fault first.
type fakePlatform struct {
	mu        sync.Mutex
	rows      map[string]platform.Row
	hosts     []member.ListedHost
	fault     error // of every call
	loseReply bool  // of the next transaction, which is applied all the same
	fullReads int

	unreachable map[string]bool // hosts that can't reach the platform
}

// hostPlatform is the platform as one host reaches it.
type hostPlatform struct {
	*fakePlatform
	id string
}

var errRefused = &platform.Error{Kind: platform.NotApplied, Cause: errors.New("refused")}

func (p hostPlatform) reach() (err error) {
	p.set(func() {
		if p.unreachable[p.id] {
			err = errRefused
		}
	})
	return err
}

func (p hostPlatform) Read(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if err := p.reach(); err != nil {
		return nil, err
	}
	return p.fakePlatform.Read(ctx, keys...)
}

func (p hostPlatform) ReadVersions(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if err := p.reach(); err != nil {
		return nil, err
	}
	return p.fakePlatform.ReadVersions(ctx, keys...)
}

func (p hostPlatform) Transact(ctx context.Context, t platform.Transaction) (platform.Result, error) {
	if err := p.reach(); err != nil {
		return platform.Result{}, err
	}
	return p.fakePlatform.Transact(ctx, t)
}

func (p hostPlatform) Hosts(ctx context.Context) ([]member.ListedHost, error) {
	if err := p.reach(); err != nil {
		return nil, err
	}
	return p.fakePlatform.Hosts(ctx)
}

func (p *fakePlatform) put(key, value string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rows[key] = platform.Row{Key: key, Value: value, Version: p.rows[key].Version + 1}
}

func (p *fakePlatform) set(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

func (p *fakePlatform) row(key string) platform.Row {
	row := p.rows[key]
	row.Key = key
	return row
}

func (p *fakePlatform) Read(_ context.Context, keys ...string) (rows []platform.Row, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fullReads++
	for _, k := range keys {
		rows = append(rows, p.row(k))
	}
	return rows, p.fault
}

func (p *fakePlatform) ReadVersions(_ context.Context, keys ...string) (rows []platform.Row, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, k := range keys {
		rows = append(rows, platform.Row{Key: k, Version: p.rows[k].Version})
	}
	return rows, p.fault
}

func (p *fakePlatform) Transact(_ context.Context, t platform.Transaction) (r platform.Result, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault != nil {
		return r, p.fault
	}
	for _, c := range t.Checks {
		if p.rows[c.Key].Version != c.Version {
			return r, &platform.Error{Kind: platform.Conflict, Cause: errors.New("check failed")}
		}
	}
	r.Committed = true
	for _, put := range t.Puts {
		p.rows[put.Key] = platform.Row{Key: put.Key, Value: put.Value, Version: p.rows[put.Key].Version + 1}
		r.Rows = append(r.Rows, platform.Row{Key: put.Key, Version: p.rows[put.Key].Version})
	}
	if p.loseReply {
		p.loseReply = false
		return platform.Result{}, &platform.Error{Kind: platform.Lost, Cause: errors.New("reply lost")}
	}
	return r, nil
}

func (p *fakePlatform) Hosts(context.Context) ([]member.ListedHost, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hosts, p.fault
}

// fakeLinks carries messages among drivers in one process.
type fakeLinks struct {
	mu      sync.Mutex
	drivers map[string]*Driver
	cut     map[string]bool // hosts that nothing reaches or leaves
	bound   error           // of binding
	dialled []member.Host
}

type fakeLink struct {
	links *fakeLinks
	self  string
}

func (l fakeLink) to(id string) *Driver {
	l.links.mu.Lock()
	defer l.links.mu.Unlock()
	if l.links.cut[id] || l.links.cut[l.self] {
		return nil
	}
	return l.links.drivers[id]
}

func (l fakeLink) Bind() error   { return l.links.bound }
func (l fakeLink) Keep([]string) {}

func (l fakeLink) Dial(host member.Host) {
	l.links.mu.Lock()
	defer l.links.mu.Unlock()
	l.links.dialled = append(l.links.dialled, host)
}

func (l fakeLink) SendHeartbeat(to member.Host, hb member.Heartbeat) {
	if d := l.to(to.ID); d != nil {
		go d.Heartbeat(hb)
	}
}

func (l fakeLink) Fetch(hostID string, version, epoch uint64) {
	d, self := l.to(hostID), l.to(l.self)
	if d == nil || self == nil {
		return
	}
	go func() {
		c := d.Copies(version, epoch)
		if c.Table != nil {
			self.TableCopy(hostID, c.TableVersion, c.Table)
		}
		if c.Assignment != nil {
			self.AssignmentCopy(hostID, c.Epoch, c.Assignment)
		}
	}()
}

func tableValue(csv string) string {
	text, _ := json.Marshal(map[string]string{"edit_id": "e", "author": "a", "time": "2026-01-01T00:00:00Z", "csv": csv})
	return string(text)
}

// fleet runs drivers a, b, c in virtual time.
type fleet struct {
	platform *fakePlatform
	links    *fakeLinks
	drivers  []*Driver
	tables   []chan *table.Table
	stop     context.CancelFunc
	ended    sync.WaitGroup
}

func newFleet(ids ...string) *fleet {
	f := &fleet{
		platform: &fakePlatform{rows: map[string]platform.Row{}},
		links:    &fakeLinks{drivers: map[string]*Driver{}, cut: map[string]bool{}},
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	for i, id := range ids {
		f.add(id, member.Incarnation(100+i))
	}
	for _, d := range f.drivers {
		f.ended.Go(func() { d.Run(ctx) })
	}
	return f
}

func (f *fleet) add(id string, incarnation member.Incarnation) {
	address := "127.0.0.1:7002"
	f.platform.hosts = append(f.platform.hosts, member.ListedHost{
		ID: id, AvailabilityZone: "z", PeerAddress: address, CallerAddress: address, OperatorAddress: address,
	})
	tables := make(chan *table.Table, 100)
	d := &Driver{
		Self: member.Host{
			ID: id, Incarnation: incarnation, AvailabilityZone: "z",
			PeerAddress: address, CallerAddress: address, OperatorAddress: address,
		},
		Clock:    clock.NewSystem(),
		Platform: hostPlatform{fakePlatform: f.platform, id: id},
		Link:     fakeLink{links: f.links, self: id},
		Counters: metrics.NewSet(),
		Logger:   slog.New(slog.NewTextHandler(io.Discard, nil)),
		OnTable:  func(t *table.Table) { tables <- t },
		OnRights: func() {},
	}
	f.drivers = append(f.drivers, d)
	f.tables = append(f.tables, tables)
	f.links.drivers[id] = d
}

func (f *fleet) end() {
	f.stop()
	f.ended.Wait()
	synctest.Wait()
}

// fullRights counts, over all hosts, who holds each upstream in full.
func (f *fleet) fullRights() map[string]int {
	held := map[string]int{}
	for _, d := range f.drivers {
		for _, r := range d.Rights() {
			if r.Full {
				held[member.Key(r.Service, r.Upstream)]++
			}
		}
	}
	return held
}

func counted(d *Driver, name string) uint64 { return d.Counters.GetOrCreateCounter(name).Get() }

const csvText = "service,upstream,address,availability_zone,weight,slots,connections,rate_per_second,state,probes_per_second,hedge_percent,max_deadline_ms\n" +
	"booking,w1,127.0.0.1:8001,z,100,4,300,0,active,,,\n" +
	"booking,w2,127.0.0.1:8002,z,100,4,300,0,active,,,\n"

var bothHeld = map[string]int{"booking/w1": 1, "booking/w2": 1}

func TestFleetOfDrivers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("three hosts follow the table and share out its upstreams", t, func() {
			f := newFleet("a", "b", "c")
			defer f.end()
			f.platform.put(table.RowKey, tableValue(csvText))
			time.Sleep(20 * time.Second)
			convey.So(f.fullRights(), convey.ShouldResemble, bothHeld)
			for i, d := range f.drivers {
				convey.So((<-f.tables[i]).Version, convey.ShouldEqual, 1)
				convey.So(d.Health(), convey.ShouldBeNil)
			}
		})
	})
}

func TestPlatformDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("a host that can't reach the platform at its start waits and says why", t, func() {
			f := newFleet("a")
			defer f.end()
			f.platform.set(func() { f.platform.fault = errRefused })
			time.Sleep(10 * time.Second)
			convey.So(f.drivers[0].Health().Error(), convey.ShouldContainSubstring, "no table in force yet, waiting for the platform")
			convey.So(f.drivers[0].Rights(), convey.ShouldBeEmpty)
			convey.Convey("and serves once it comes back", func() {
				f.platform.put(table.RowKey, tableValue(csvText))
				f.platform.set(func() { f.platform.fault = nil })
				time.Sleep(20 * time.Second)
				convey.So(f.drivers[0].Health(), convey.ShouldBeNil)
				convey.So(f.fullRights(), convey.ShouldResemble, bothHeld)
			})
		})
		convey.Convey("rights outlast an outage while hosts hear each other", t, func() {
			f := newFleet("a", "b", "c")
			defer f.end()
			f.platform.put(table.RowKey, tableValue(csvText))
			time.Sleep(20 * time.Second)
			f.platform.set(func() { f.platform.fault = &platform.Error{Kind: platform.Lost, Cause: errors.New("timeout")} })
			time.Sleep(time.Minute)
			convey.So(f.fullRights(), convey.ShouldResemble, bothHeld)
			convey.So(f.drivers[0].State().PlatformReachable, convey.ShouldBeFalse)
		})
	})
}

func TestLostReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("an assignment whose reply is lost is read back and taken", t, func() {
			f := newFleet("a")
			defer f.end()
			f.platform.set(func() { f.platform.loseReply = true })
			f.platform.put(table.RowKey, tableValue(csvText))
			time.Sleep(20 * time.Second)
			d := f.drivers[0]
			convey.So(counted(d, `assignment_writes_total{result="unknown"}`), convey.ShouldEqual, 1)
			convey.So(d.State().Member.Epoch, convey.ShouldEqual, 1)
			convey.So(f.fullRights(), convey.ShouldResemble, bothHeld)
		})
	})
}

func TestMovedAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("a listed address is not taken for that of a process that never told it", t, func() {
			f := newFleet("a", "b")
			defer f.end()
			f.platform.put(table.RowKey, tableValue(csvText))
			time.Sleep(20 * time.Second)
			f.links.mu.Lock()
			f.links.cut["b"] = true
			f.links.dialled = nil
			f.links.mu.Unlock()
			f.platform.set(func() {
				hosts := slices.Clone(f.platform.hosts)
				hosts[1].PeerAddress = movedAddress
				f.platform.hosts = hosts
			})
			time.Sleep(20 * time.Second)
			f.links.mu.Lock()
			defer f.links.mu.Unlock()
			moved := 0
			for _, h := range f.links.dialled {
				if h.ID == "b" && h.PeerAddress == movedAddress {
					moved++
					convey.So(h.Incarnation, convey.ShouldEqual, member.Incarnation(0))
				}
			}
			convey.So(moved, convey.ShouldBeGreaterThan, 0)
		})
	})
}

const movedAddress = "127.0.0.9:7002"

func TestUnbound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("a host whose port can't be opened writes itself into nothing", t, func() {
			f := newFleet()
			f.links.bound = errors.New("in use")
			f.add("a", 100)
			f.platform.put(table.RowKey, tableValue(csvText))
			f.drivers[0].Run(context.Background()) // returns at once
			convey.So(f.platform.rows, convey.ShouldNotContainKey, rowAssignment)
		})
	})
}

func TestGarbage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("garbage in the rows is refused and what is in force stays", t, func() {
			f := newFleet("a")
			defer f.end()
			f.platform.put(table.RowKey, tableValue(csvText))
			time.Sleep(20 * time.Second)
			d := f.drivers[0]
			f.platform.put(table.RowKey, "}{")
			f.platform.put(rowAssignment, `{"members":[{"id":"b"},{"id":"a"}]}`)
			time.Sleep(2 * time.Second)
			convey.So(d.Table().Version, convey.ShouldEqual, 1)
			convey.So(d.State().Member.Epoch, convey.ShouldEqual, 1)
			convey.So(counted(d, `refused_content_total`), convey.ShouldBeGreaterThan, 0)
			convey.Convey("and is read once, not at every look", func() {
				var before, after int
				f.platform.set(func() { before = f.platform.fullReads })
				time.Sleep(20 * time.Second)
				f.platform.set(func() { after = f.platform.fullReads })
				convey.So(after, convey.ShouldEqual, before)
			})
			convey.Convey("and it doesn't count as a read of the platform", func() {
				time.Sleep(10 * time.Second)
				convey.So(d.State().Member.PlatformAge, convey.ShouldBeGreaterThan, 10*clock.Second)
				convey.So(f.fullRights(), convey.ShouldResemble, bothHeld) // by the majority, itself
			})
		})
	})
}

func TestCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		convey.Convey("a host follows a newer table by a peer's copy alone", t, func() {
			f := newFleet("a", "b", "c")
			defer f.end()
			f.platform.put(table.RowKey, tableValue(csvText))
			time.Sleep(20 * time.Second)
			d := f.drivers[0]
			f.platform.set(func() { f.platform.unreachable = map[string]bool{d.Self.ID: true} })
			f.platform.put(table.RowKey, tableValue(csvText+"booking,w3,127.0.0.1:8003,z,100,4,300,0,active,,,\n"))
			time.Sleep(5 * time.Second)
			convey.So(d.Table().Version, convey.ShouldEqual, 2)
		})
	})
}

func TestTableFromMembers(t *testing.T) {
	convey.Convey("a host that learns the assignment before it has heard its members takes their table", t, func() {
		f := &fleet{platform: &fakePlatform{}, links: &fakeLinks{drivers: map[string]*Driver{}, cut: map[string]bool{}}}
		f.add("c", 103)
		d := f.drivers[0]
		d.AssignmentCopy("a", 3, []byte(goodAssignment))
		d.TableCopy("a", 2, []byte(tableValue(csvText)))
		convey.So(d.Table(), convey.ShouldBeNil)
		for i, id := range []string{"a", "b"} {
			from := member.Host{ID: id, Incarnation: member.Incarnation(i + 1), PeerAddress: "127.0.0.1:1"}
			d.Heartbeat(member.Heartbeat{From: from, Sequence: 1, Epoch: 3, TableVersion: 2, PlatformAge: -1})
		}
		convey.So(d.Table(), convey.ShouldNotBeNil)
		convey.So(d.Table().Version, convey.ShouldEqual, 2)
	})
}
