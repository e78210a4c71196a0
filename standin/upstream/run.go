package upstream

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"siskinpath/core/clock"
	"siskinpath/standin/payload"
)

// coldFactor is the factor of the service time at the beginning of a cold start.
const coldFactor = 4

// request holds the parameters of a request.
type request struct {
	organisation string
	key          string
	marker       string
	requestID    string
	size         int
	workTime     time.Duration // requested service time; 0 for that of the behaviour
	arrived      time.Time
	deadline     time.Time
	disconnected <-chan struct{} // closed when the connection ends
}

func parseRequest(ctx *fasthttp.RequestCtx) request {
	h := &ctx.Request.Header
	q := ctx.QueryArgs()
	r := request{
		organisation: string(h.Peek("Siskin-Organisation")),
		key:          string(h.Peek("Idempotency-Key")),
		marker:       string(q.Peek("marker")),
		requestID:    string(h.Peek("Siskin-Request-Id")),
		size:         payload.DefaultBytes,
		arrived:      time.Now(),
	}
	if n, err := q.GetUint("size"); err == nil {
		r.size = n
	}
	if n, err := q.GetUint("work_ms"); err == nil {
		r.workTime = time.Duration(n) * time.Millisecond
	}
	r.deadline = r.arrived.Add(time.Hour)
	if ms, err := strconv.Atoi(string(h.Peek("Siskin-Deadline-Ms"))); err == nil {
		r.deadline = r.arrived.Add(time.Duration(ms) * time.Millisecond)
	}
	if c, ok := ctx.Conn().(*readAheadConn); ok {
		r.disconnected = c.closed
	}
	return r
}

// runResult is the way in which an admitted request ended.
type runResult int

const (
	resultAnswered runResult = iota
	resultError
	resultCancelled
	resultDeadline
	resultCut
)

// run waits for a slot and runs r until it is finished or cancelled. r does not run
// if its deadline passes before it gets a slot.
func (u *Upstream) run(r request, a *Admission) runResult {
	late := time.NewTimer(time.Until(r.deadline))
	defer late.Stop()
	select {
	case <-a.Ready:
	case <-r.disconnected:
		return resultCancelled
	case <-late.C:
		return resultDeadline
	}
	b, since := u.scheduler.Behaviour(u.Clock.Now())
	if !b.IgnoreDeadline && time.Now().After(r.deadline) {
		return resultDeadline
	}
	u.recordRun(r)
	if b.FailFast == FailFastError {
		return resultError
	}
	work := time.NewTimer(u.workTime(b, since, r.workTime))
	defer work.Stop()
	select {
	case <-work.C:
	case <-r.disconnected:
		return resultCancelled
	}
	if b.CutAnswers > 0 && u.randomFloat() < b.CutAnswers {
		return resultCut
	}
	return resultAnswered
}

func (u *Upstream) recordRun(r request) {
	u.scheduler.UpdateStats(func(s *Stats) { s.Runs++ })
	u.RunLog.Add(Run{
		Upstream:      u.Name,
		Organisation:  r.organisation,
		Key:           r.key,
		Marker:        r.marker,
		RequestID:     r.requestID,
		StartedUnixMs: time.Now().UnixMilli(),
	})
}

func (u *Upstream) randomFloat() float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.rand.Float64()
}

// workTime returns the duration of a run that begins at time since after the begin
// of b's durations. requested replaces the random or fixed time of b unless it is 0.
func (u *Upstream) workTime(b Behaviour, since clock.Millis, requested time.Duration) time.Duration {
	ms := b.ServiceMs
	if !b.Fixed {
		u.mu.Lock()
		ms *= u.rand.ExpFloat64()
		u.mu.Unlock()
	}
	if requested > 0 {
		ms = float64(requested) / float64(time.Millisecond)
	}
	if b.SlowFactor > 0 && int64(since) < b.SlowForMs {
		ms *= b.SlowFactor
	}
	if int64(since) < b.ColdMs {
		left := 1 - float64(since)/float64(b.ColdMs)
		ms *= 1 + (coldFactor-1)*left
	}
	return millis(ms)
}
