package caller

import (
	"fmt"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"siskinpath/standin/payload"
)

// idempotentAttemptDivisor divides the remaining time of an idempotent request. The
// result is the time limit of one attempt, after which the caller tries the next
// address.
const idempotentAttemptDivisor = 2

// replyGrace is the time after the deadline during which a caller still reads the
// reply to a request with an idempotency key.
const replyGrace = 500 * time.Millisecond

// job is one request, with the properties that the generator has drawn.
type job struct {
	id           int
	service      string
	organisation string
	once         bool
	unprefixed   bool // the key does not begin with a host's prefix
	size         int
	workMs       int
	scheduled    time.Time
	deadline     time.Duration
	addresses    *AddressCache
}

// sender sends the requests described by jobs.
type sender struct {
	pool        *Pool
	requestLog  *RequestLog
	counters    *Counters
	maxAttempts int
	latency     *histograms
}

// send sends the request j, retries it as needed, and records its final outcome.
func (s *sender) send(j job) {
	r := RequestRecord{Service: j.service, Organisation: j.organisation, Unprefixed: j.once && j.unprefixed, Final: NotSent}
	deadline := time.Now().Add(j.deadline)
	for n := range s.maxAttempts {
		a, wait := s.attempt(&r, j, n, deadline)
		r.Attempts = append(r.Attempts, a)
		r.Final = a.Outcome
		if !shouldRetry(j, a) || time.Until(deadline) <= wait {
			break
		}
		s.counters.Retries.Add(1)
		time.Sleep(wait)
	}
	if r.Final == Answered {
		s.latency.total.Record(time.Since(j.scheduled).Microseconds())
	}
	s.requestLog.Add(r)
}

// shouldRetry reports whether a caller sends j again after attempt a.
func shouldRetry(j job, a Attempt) bool {
	switch a.Outcome {
	case NotRun:
		return a.Status != fasthttp.StatusBadRequest && a.Status != fasthttp.StatusNotFound
	case NoReply, NotSent:
		return true
	case Unknown:
		return !j.once
	}
	return false
}

// noAddressRetryDelay is the retry delay after no host has returned addresses.
const noAddressRetryDelay = 100 * time.Millisecond

// attempt sends j for the n-th time, from 0, and returns the attempt and the retry
// delay.
func (s *sender) attempt(r *RequestRecord, j job, n int, deadline time.Time) (a Attempt, wait time.Duration) {
	list, err := j.addresses.Get()
	if err != nil {
		return Attempt{Outcome: NotSent, FailureKind: "no_address"}, noAddressRetryDelay
	}
	address := r.nextAddress(list)
	if j.once && r.neverSent() {
		r.Key = newKey(j, address)
	}
	a = Attempt{Address: address.Address, Marker: fmt.Sprintf("%d.%d", j.id, n), SentMs: time.Now().UnixMilli()}
	wait = s.exchange(&a, r, j, deadline)
	a.EndedMs = time.Now().UnixMilli()
	if a.Outcome == NoReply || a.Outcome == NotSent {
		j.addresses.MarkFailed(a.Address)
	}
	return a, wait
}

// newKey returns the idempotency key of j for address a.
func newKey(j job, a Address) string {
	if j.unprefixed {
		return fmt.Sprintf("order-%d-%d", j.scheduled.UnixNano(), j.id)
	}
	return a.KeyPrefix + strconv.Itoa(j.id)
}

// exchange sends one attempt, fills in its result, and returns the retry delay from
// the reply.
func (s *sender) exchange(a *Attempt, r *RequestRecord, j job, deadline time.Time) time.Duration {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	left := time.Until(deadline)
	buildRequest(req, a, r, j, left)
	start := time.Now()
	readDeadline := deadline.Add(replyGrace)
	if !j.once {
		readDeadline = start.Add(left / idempotentAttemptDivisor)
	}
	if err := s.pool.Exchange(a.Address, req, resp, readDeadline); err != nil {
		a.Outcome = NoReply
		a.FailureKind = failureKind(err, readDeadline)
		a.FailedOver = a.FailureKind == failureTimeout && readDeadline.Before(deadline)
		if errors.Is(err, ErrNotSent) {
			a.Outcome = NotSent
		}
		return 0
	}
	s.readReply(a, r, j, resp, time.Since(start))
	ms, _ := strconv.Atoi(string(resp.Header.Peek("Siskin-Retry-After-Ms")))
	return time.Duration(ms) * time.Millisecond
}

// nextAddress returns the first, and therefore best, address of list that no attempt
// was made on yet. If there is none, it returns the first address of list.
func (r *RequestRecord) nextAddress(list []Address) Address {
	for _, address := range list {
		tried := func(a Attempt) bool { return a.Address == address.Address }
		if !slices.ContainsFunc(r.Attempts, tried) {
			return address
		}
	}
	return list[0]
}

// neverSent reports whether no byte of any attempt left the caller. The request may
// then get a new key, for another address.
func (r *RequestRecord) neverSent() bool {
	return !slices.ContainsFunc(r.Attempts, func(a Attempt) bool { return a.Outcome != NotSent })
}

// hasUnanswered reports whether an earlier attempt was sent and received no reply.
func (r *RequestRecord) hasUnanswered() bool {
	return slices.ContainsFunc(r.Attempts, func(a Attempt) bool { return a.Outcome == NoReply })
}

// failureTimeout is the failure kind of an exchange whose read deadline passed
// before the reply arrived.
const failureTimeout = "timeout"

// failureKind returns the Attempt.FailureKind of an exchange that failed with err.
func failureKind(err error, readDeadline time.Time) string {
	switch {
	case errors.Is(err, ErrNotSent):
		return "no_connection"
	case !time.Now().Before(readDeadline):
		return failureTimeout
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return "reset"
	}
	return "closed"
}

func buildRequest(req *fasthttp.Request, a *Attempt, r *RequestRecord, j job, left time.Duration) {
	uri := fmt.Sprintf("http://%s/v1/call/%s/slots/%d?marker=%s&size=%d", a.Address, j.service, j.id, a.Marker, j.size)
	if j.workMs > 0 {
		uri += "&work_ms=" + strconv.Itoa(j.workMs)
	}
	req.SetRequestURI(uri)
	req.Header.Set("Siskin-Deadline-Ms", strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	req.Header.Set("Siskin-Organisation", j.organisation)
	if !j.once {
		return
	}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set("Idempotency-Key", r.Key)
	if r.hasUnanswered() {
		req.Header.Set("Siskin-Unanswered", "true")
	}
	req.SetBodyString("order " + strconv.Itoa(j.id))
}

func (s *sender) readReply(a *Attempt, r *RequestRecord, j job, resp *fasthttp.Response, took time.Duration) {
	a.Status = resp.StatusCode()
	a.Host = string(resp.Header.Peek("Siskin-Host"))
	a.Reason = string(resp.Header.Peek("Siskin-Reason"))
	switch o := Outcome(resp.Header.Peek("Siskin-Outcome")); o {
	case Answered:
		a.Outcome = o
		s.checkAnswer(a, r, j, resp, took)
	case NotRun, Unknown:
		a.Outcome = o
	default:
		a.Outcome = Malformed
	}
}

// checkAnswer verifies the body of an answer with status 200 and records the added
// latency, except for a recorded answer, which was not run for this attempt.
func (s *sender) checkAnswer(a *Attempt, r *RequestRecord, j job, resp *fasthttp.Response, took time.Duration) {
	if a.Status != fasthttp.StatusOK {
		return
	}
	marker := a.Marker
	if j.once {
		marker = r.Key
	}
	a.Verdict = payload.Verify(resp.Body(), j.organisation, marker, j.size)
	upstreamUs, err := strconv.ParseInt(string(resp.Header.Peek("Siskin-Took-Us")), 10, 64)
	recorded := len(resp.Header.Peek("Siskin-Recorded")) > 0
	if err == nil && !recorded {
		s.latency.added.Record(took.Microseconds() - upstreamUs)
	}
}
