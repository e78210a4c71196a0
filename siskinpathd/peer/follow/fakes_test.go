package follow

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"sync"
	"testing/synctest"

	"github.com/VictoriaMetrics/metrics"

	"siskinpath/core/clock"
	"siskinpath/core/membership"
	"siskinpath/core/table"
	"siskinpath/siskinpathd/platform"
)

// fakePlatform is a platform with its rows in memory. While fault is set, every call
// returns it.
type fakePlatform struct {
	mu        sync.Mutex
	rows      map[string]platform.Row
	hosts     []membership.ListedHost
	fault     error // returned by every call, unless nil
	loseReply bool  // the next transaction is applied, but its reply is lost
	fullReads int

	unreachable map[string]bool // hosts that can't reach the platform
}

// hostPlatform is the platform as seen by one host.
type hostPlatform struct {
	*fakePlatform
	id string
}

var errRefused = &platform.Error{Kind: platform.NotApplied, Cause: errors.New("refused")}

func (p hostPlatform) checkReachable() (err error) {
	p.set(func() {
		if p.unreachable[p.id] {
			err = errRefused
		}
	})
	return err
}

func (p hostPlatform) Read(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if err := p.checkReachable(); err != nil {
		return nil, err
	}
	return p.fakePlatform.Read(ctx, keys...)
}

func (p hostPlatform) ReadVersions(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if err := p.checkReachable(); err != nil {
		return nil, err
	}
	return p.fakePlatform.ReadVersions(ctx, keys...)
}

func (p hostPlatform) Transact(ctx context.Context, t platform.Transaction) (platform.Result, error) {
	if err := p.checkReachable(); err != nil {
		return platform.Result{}, err
	}
	return p.fakePlatform.Transact(ctx, t)
}

func (p hostPlatform) Hosts(ctx context.Context) ([]membership.ListedHost, error) {
	if err := p.checkReachable(); err != nil {
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
		return platform.Result{}, &platform.Error{Kind: platform.ConnectionLost, Cause: errors.New("reply lost")}
	}
	return r, nil
}

func (p *fakePlatform) Hosts(context.Context) ([]membership.ListedHost, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hosts, p.fault
}

// fakeNetwork delivers messages between drivers in one process.
type fakeNetwork struct {
	mu      sync.Mutex
	drivers map[string]*Driver
	cut     map[string]bool // hosts whose messages are dropped in both directions
	bindErr error           // returned by Bind
	dialled []membership.Host
}

type fakeTransport struct {
	network *fakeNetwork
	self    string
}

func (t fakeTransport) driver(id string) *Driver {
	t.network.mu.Lock()
	defer t.network.mu.Unlock()
	if t.network.cut[id] || t.network.cut[t.self] {
		return nil
	}
	return t.network.drivers[id]
}

func (t fakeTransport) Bind() error          { return t.network.bindErr }
func (t fakeTransport) RetainHosts([]string) {}

func (t fakeTransport) Dial(host membership.Host) {
	t.network.mu.Lock()
	defer t.network.mu.Unlock()
	t.network.dialled = append(t.network.dialled, host)
}

func (t fakeTransport) SendHeartbeat(to membership.Host, hb membership.Heartbeat) {
	if d := t.driver(to.ID); d != nil {
		go d.HandleHeartbeat(hb)
	}
}

func (t fakeTransport) FetchUpdates(hostID string, version, epoch uint64) {
	d, self := t.driver(hostID), t.driver(t.self)
	if d == nil || self == nil {
		return
	}
	go func() {
		c := d.CopiesNewerThan(version, epoch)
		if c.Table != nil {
			self.HandleTableCopy(hostID, c.TableVersion, c.Table)
		}
		if c.Assignment != nil {
			self.HandleAssignmentCopy(hostID, c.Epoch, c.Assignment)
		}
	}()
}

func tableValue(csv string) string {
	text, _ := json.Marshal(map[string]string{"edit_id": "e", "author": "a", "time": "2026-01-01T00:00:00Z", "csv": csv})
	return string(text)
}

// fleet runs several drivers in virtual time.
type fleet struct {
	platform *fakePlatform
	network  *fakeNetwork
	drivers  []*Driver
	tables   []chan *table.Table
	stop     context.CancelFunc
	wg       sync.WaitGroup
}

func newFleet(ids ...string) *fleet {
	f := &fleet{
		platform: &fakePlatform{rows: map[string]platform.Row{}},
		network:  &fakeNetwork{drivers: map[string]*Driver{}, cut: map[string]bool{}},
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	for i, id := range ids {
		f.add(id, membership.Incarnation(100+i))
	}
	for _, d := range f.drivers {
		f.wg.Go(func() { d.Run(ctx) })
	}
	return f
}

func (f *fleet) add(id string, incarnation membership.Incarnation) {
	address := "127.0.0.1:7002"
	f.platform.hosts = append(f.platform.hosts, membership.ListedHost{
		ID: id, AvailabilityZone: "z", PeerAddress: address, CallerAddress: address, OperatorAddress: address,
	})
	tables := make(chan *table.Table, 100)
	d := &Driver{
		Self: membership.Host{
			ID: id, Incarnation: incarnation, AvailabilityZone: "z",
			PeerAddress: address, CallerAddress: address, OperatorAddress: address,
		},
		Clock:          clock.NewSystem(),
		Platform:       hostPlatform{fakePlatform: f.platform, id: id},
		Transport:      fakeTransport{network: f.network, self: id},
		Counters:       metrics.NewSet(),
		Logger:         slog.New(slog.NewTextHandler(io.Discard, nil)),
		OnTableChange:  func(t *table.Table) { tables <- t },
		OnRightsChange: func() {},
	}
	f.drivers = append(f.drivers, d)
	f.tables = append(f.tables, tables)
	f.network.drivers[id] = d
}

func (f *fleet) stopAll() {
	f.stop()
	f.wg.Wait()
	synctest.Wait()
}

// fullRights returns, for each upstream, how many hosts hold it in full.
func (f *fleet) fullRights() map[string]int {
	held := map[string]int{}
	for _, d := range f.drivers {
		for _, r := range d.Rights() {
			if r.Full {
				held[membership.UpstreamKey(r.Service, r.Upstream)]++
			}
		}
	}
	return held
}

func counterValue(d *Driver, name string) uint64 { return d.Counters.GetOrCreateCounter(name).Get() }
