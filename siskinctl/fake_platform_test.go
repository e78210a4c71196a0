package main

import (
	"encoding/json"
	"net"
	"slices"
	"strconv"
	"sync"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/valyala/fasthttp"

	"siskinpath/core/table"
)

// fakePlatform implements the part of the platform's API that siskinctl uses.
type fakePlatform struct {
	listener net.Listener

	mu           sync.Mutex
	rows         map[string]fakeRow
	hosts        []*fakeHost
	down         bool
	loseReplies  int      // number of next transactions to apply without a reply
	dropRequests int      // number of next transactions to neither apply nor answer
	raceEdits    []string // tables to write as another operator, one before each next transaction
}

type fakeRow struct {
	Key     string `json:"key"`
	Value   string `json:"value"`
	Version uint64 `json:"version"`
}

// fakeHost implements the part of a host's HTTP server for operators that siskinctl
// uses.
type fakeHost struct {
	platform      *fakePlatform
	listener      net.Listener
	id            string
	version       uint64
	followsNewest bool
	down          bool
}

type fakeTransaction struct {
	Checks []fakeRow `json:"checks"`
	Puts   []fakeRow `json:"puts"`
}

func serveOnLoopback(handler fasthttp.RequestHandler) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err == nil {
		go func() { _ = fasthttp.Serve(l, handler) }()
	}
	return l, err
}

func startFakePlatform() (p *fakePlatform, err error) {
	p = &fakePlatform{rows: map[string]fakeRow{}}
	p.listener, err = serveOnLoopback(p.serve)
	return p, err
}

func (p *fakePlatform) address() string { return p.listener.Addr().String() }

func (p *fakePlatform) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	for _, h := range p.hosts {
		_ = h.listener.Close()
	}
}

// host returns the fake host with the given id and starts it if needed.
func (p *fakePlatform) host(id string) (h *fakeHost, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.IndexFunc(p.hosts, func(h *fakeHost) bool { return h.id == id }); i >= 0 {
		return p.hosts[i], nil
	}
	h = &fakeHost{platform: p, id: id}
	h.listener, err = serveOnLoopback(h.serve)
	p.hosts = append(p.hosts, h)
	return h, err
}

func (p *fakePlatform) serve(ctx *fasthttp.RequestCtx) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		ctx.Error("outage", fasthttp.StatusServiceUnavailable)
		return
	}
	switch string(ctx.Path()) {
	case "/v1/read":
		p.read(ctx)
	case "/v1/transaction":
		p.transaction(ctx)
	case "/v1/hosts":
		var list []map[string]string
		for _, h := range p.hosts {
			list = append(list, map[string]string{
				"id": h.id, "availability_zone": "gh-mid-a", "state": "live",
				"caller_address": "10.0.0.1:7001", "operator_address": h.address(),
			})
		}
		writeJSON(ctx, map[string]any{"hosts": list})
	default:
		ctx.NotFound()
	}
}

func (p *fakePlatform) read(ctx *fasthttp.RequestCtx) {
	var body struct{ Keys []string }
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	rows := []fakeRow{}
	for _, key := range body.Keys {
		row := p.rows[key]
		row.Key = key
		rows = append(rows, row)
	}
	writeJSON(ctx, map[string]any{"rows": rows})
}

func (p *fakePlatform) transaction(ctx *fasthttp.RequestCtx) {
	if p.dropRequests > 0 {
		p.dropRequests--
		closeConn(ctx)
		return
	}
	if len(p.raceEdits) > 0 {
		p.writeTable(p.raceEdits[0])
		p.raceEdits = p.raceEdits[1:]
	}
	var t fakeTransaction
	if err := json.Unmarshal(ctx.PostBody(), &t); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	rows, ok := p.apply(t)
	if p.loseReplies > 0 {
		p.loseReplies--
		closeConn(ctx)
		return
	}
	writeJSON(ctx, map[string]any{"committed": ok, "rows": rows})
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusConflict)
	}
}

func (p *fakePlatform) apply(t fakeTransaction) (rows []fakeRow, ok bool) {
	for _, c := range t.Checks {
		if p.rows[c.Key].Version != c.Version {
			rows = append(rows, p.rows[c.Key])
		}
	}
	if len(rows) > 0 {
		return rows, false
	}
	for _, put := range t.Puts {
		put.Version = p.rows[put.Key].Version + 1
		p.rows[put.Key] = put
		rows = append(rows, fakeRow{Key: put.Key, Version: put.Version})
	}
	return rows, true
}

// writeTable commits a table as another operator's edit.
func (p *fakePlatform) writeTable(csv string) {
	next := p.rows[table.RowKey].Version + 1
	value := table.EncodeRow(table.RowValue{
		EditID: "edit-" + strconv.FormatUint(next, 10), Author: "kofi", Time: "2026-01-02T03:04:05Z", CSV: csv,
	})
	p.rows[table.RowKey] = fakeRow{table.RowKey, value, next}
	p.rows[table.HistoryKey(next)] = fakeRow{table.HistoryKey(next), value, 1}
}

func (h *fakeHost) address() string { return h.listener.Addr().String() }

func (h *fakeHost) serve(ctx *fasthttp.RequestCtx) {
	h.platform.mu.Lock()
	defer h.platform.mu.Unlock()
	if h.down {
		closeConn(ctx)
		return
	}
	if h.followsNewest {
		h.version = h.platform.rows[table.RowKey].Version
	}
	switch string(ctx.Path()) {
	case "/v1/hosts":
		writeJSON(ctx, map[string]any{"hosts": []map[string]any{
			{
				"id": h.id, "table_version": h.version, "availability_zone": "gh-mid-a", "presence": "present",
				"caller_address": "10.0.0.1:7001", "operator_address": h.address(),
			},
		}})
	case "/v1/state":
		writeJSON(ctx, map[string]any{"id": h.id, "table": map[string]any{"version": h.version}})
	default:
		ctx.NotFound()
	}
}

// closeConn closes the connection without a reply.
func closeConn(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	text, _ := json.Marshal(v)
	ctx.SetContentType("application/json")
	ctx.SetBody(text)
}

func atoi(ts *testscript.TestScript, text string) int {
	n, err := strconv.Atoi(text)
	ts.Check(err)
	return n
}
