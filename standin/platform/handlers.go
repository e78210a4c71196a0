package platform

import (
	"encoding/json"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"siskinpath/core/clock"
)

// counters holds the counters behind Counts.
type counters struct {
	reads     atomic.Uint64
	writes    atomic.Uint64
	conflicts atomic.Uint64
	lost      atomic.Uint64
	hostLists atomic.Uint64
	held      atomic.Uint64
}

type readBody struct {
	Keys []string `json:"keys"`
}

type rowBody struct {
	Key     string  `json:"key"`
	Value   *string `json:"value,omitempty"`
	Version uint64  `json:"version"`
}

type rowsBody struct {
	Rows []rowBody `json:"rows"`
}

type checkBody struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

type putBody struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

type transactionBody struct {
	Checks  []checkBody `json:"checks"`
	Puts    []putBody   `json:"puts"`
	Deletes []string    `json:"deletes"`
}

type committedBody struct {
	Committed bool      `json:"committed"`
	Rows      []rowBody `json:"rows"`
}

type hostsBody struct {
	Hosts []Host `json:"hosts"`
}

func (s *Server) read(ctx *fasthttp.RequestCtx) { s.readRows(ctx, true) }

func (s *Server) readVersions(ctx *fasthttp.RequestCtx) { s.readRows(ctx, false) }

func (s *Server) readRows(ctx *fasthttp.RequestCtx, values bool) {
	var body readBody
	if !decode(ctx, &body) {
		return
	}
	s.counts.reads.Add(1)
	writeJSON(ctx, fasthttp.StatusOK, rowsBody{Rows: rowBodies(s.store.Read(body.Keys), values)})
}

func (s *Server) transaction(ctx *fasthttp.RequestCtx) {
	var body transactionBody
	if !decode(ctx, &body) {
		return
	}
	s.counts.writes.Add(1)
	committed, rows := s.store.Apply(body.transaction())
	if s.faults.loseReply() {
		s.counts.lost.Add(1)
		closeWithoutReply(ctx)
		return
	}
	if !committed {
		s.counts.conflicts.Add(1)
		writeJSON(ctx, fasthttp.StatusConflict, committedBody{Rows: rowBodies(rows, true)})
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, committedBody{Committed: true, Rows: rowBodies(rows, false)})
}

func (b transactionBody) transaction() Transaction {
	t := Transaction{Deletes: b.Deletes}
	for _, c := range b.Checks {
		t.Checks = append(t.Checks, Check(c))
	}
	for _, p := range b.Puts {
		t.Puts = append(t.Puts, Put(p))
	}
	return t
}

func rowBodies(rows []Row, values bool) []rowBody {
	bodies := make([]rowBody, 0, len(rows))
	for _, r := range rows {
		b := rowBody{Key: r.Key, Version: r.Version}
		if values {
			b.Value = &r.Value
		}
		bodies = append(bodies, b)
	}
	return bodies
}

func (s *Server) listHosts(ctx *fasthttp.RequestCtx) {
	s.counts.hostLists.Add(1)
	faults, _ := s.faults.get()
	hosts := s.hosts.At(s.clock.Now(), clock.Millis(faults.ListLagMs))
	writeJSON(ctx, fasthttp.StatusOK, hostsBody{Hosts: hosts})
}

func (s *Server) getObject(ctx *fasthttp.RequestCtx) {
	s.counts.reads.Add(1)
	value, ok := s.store.Object(objectName(ctx))
	if !ok {
		ctx.Error("no such object", fasthttp.StatusNotFound)
		return
	}
	ctx.SetBody(value)
}

func (s *Server) putObject(ctx *fasthttp.RequestCtx) {
	s.counts.writes.Add(1)
	s.store.PutObject(objectName(ctx), ctx.PostBody())
	if s.faults.loseReply() {
		s.counts.lost.Add(1)
		closeWithoutReply(ctx)
	}
}

func objectName(ctx *fasthttp.RequestCtx) string {
	name, _ := ctx.UserValue("name").(string)
	return name
}

func decode(ctx *fasthttp.RequestCtx, v any) bool {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}
