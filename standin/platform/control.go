package platform

import (
	"encoding/json"

	"github.com/valyala/fasthttp"
)

// hostChange is the body of POST /control/hosts.
type hostChange struct {
	Action string `json:"action"` // "add", "leave" or "remove"
	Host
}

// Counts is the body of GET /control/counts: the numbers of requests since the
// start.
type Counts struct {
	Reads     uint64 `json:"reads"`      // reads of rows and of objects
	Writes    uint64 `json:"writes"`     // transactions, including conflicts, and writes of objects
	Conflicts uint64 `json:"conflicts"`  // transactions whose checks failed
	Lost      uint64 `json:"lost"`       // writes whose reply was lost
	HostLists uint64 `json:"host_lists"` // reads of the host list
	Held      uint64 `json:"held"`       // requests held without a reply by a silent outage
}

// controlFaults changes the faults that the body contains and leaves the others
// unchanged.
func (s *Server) controlFaults(ctx *fasthttp.RequestCtx) {
	faults, _ := s.faults.get()
	if err := json.Unmarshal(ctx.PostBody(), &faults); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if err := faults.Validate(); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.faults.set(faults)
	writeJSON(ctx, fasthttp.StatusOK, faults)
	s.applyOutage(ctx, faults)
}

// applyOutage closes or opens the listener of the services, depending on faults. The
// connection of ctx is closed only after its reply has been sent.
func (s *Server) applyOutage(ctx *fasthttp.RequestCtx, faults Faults) {
	if faults.Outage == OutageRefuse {
		ctx.SetConnectionClose()
		s.listener.close(ctx.Conn())
		return
	}
	if err := s.listener.open(); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
	}
}

func (s *Server) showFaults(ctx *fasthttp.RequestCtx) {
	faults, _ := s.faults.get()
	writeJSON(ctx, fasthttp.StatusOK, faults)
}

func (s *Server) controlHosts(ctx *fasthttp.RequestCtx) {
	var change hostChange
	if !decode(ctx, &change) {
		return
	}
	now := s.clock.Now()
	switch change.Action {
	case "add":
		change.State = StateLive
		s.hosts.Set(now, change.Host)
	case "leave":
		s.hosts.SetState(now, change.ID, StateLeaving)
	case "remove":
		s.hosts.Remove(now, change.ID)
	default:
		ctx.Error("action: want add, leave or remove", fasthttp.StatusBadRequest)
	}
}

func (s *Server) controlCounts(ctx *fasthttp.RequestCtx) {
	writeJSON(ctx, fasthttp.StatusOK, Counts{
		Reads:     s.counts.reads.Load(),
		Writes:    s.counts.writes.Load(),
		Conflicts: s.counts.conflicts.Load(),
		Lost:      s.counts.lost.Load(),
		HostLists: s.counts.hostLists.Load(),
		Held:      s.counts.held.Load(),
	})
}
