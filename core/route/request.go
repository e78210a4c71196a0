package route

import "siskinpath/core/clock"

// request is a request that still waits for its final action: Finish, Refuse or
// Unknown.
type request struct {
	Request
	arrivalSeq uint64       // position in the order of arrival
	queueKey   clock.Millis // primary sort key of the queue, ascending; ties go by arrivalSeq
	queueIndex int
	deadline   timer
	running    []*attempt
	tried      []*upstream // upstreams at which an attempt failed
	triedHosts []string    // hosts that it was forwarded to without success
	attempts   int
	hedged     bool
	forwarded  bool
	mayHaveRun bool         // an attempt ended without proof that the request did not run
	retryAfter clock.Millis // longest asked for by another host
}

func (r *request) less(other *request) bool {
	if r.queueKey != other.queueKey {
		return r.queueKey < other.queueKey
	}
	return r.arrivalSeq < other.arrivalSeq
}

func (r *request) heapIndex() *int { return &r.queueIndex }

func (r *request) hasTried(u *upstream) bool {
	for _, t := range r.tried {
		if t == u {
			return true
		}
	}
	return false
}

func (r *request) isRunningAt(u *upstream) bool {
	for _, a := range r.running {
		if a.upstream == u {
			return true
		}
	}
	return false
}

func (r *request) removeAttempt(a *attempt) {
	for i, other := range r.running {
		if other == a {
			r.running = append(r.running[:i], r.running[i+1:]...)
			return
		}
	}
}

// attempt is one sending of a request to an upstream. A cancelled attempt outlives
// its request, since it holds its slot until the driver reports its end.
type attempt struct {
	id         AttemptID
	request    *request // nil once the request has had its final action
	upstream   *upstream
	started    clock.Millis
	timedOut   bool // its request's deadline passed while it was in flight
	hedge      timer
	prev, next *attempt // neighbours in the upstream's list of attempts, by start
}

// timer is a point in time at which a request's deadline or the hedge of one of its
// attempts is due.
type timer struct {
	at      clock.Millis
	index   int
	request *request
	attempt *attempt // nil for the timer of the request's deadline
}

func (t *timer) less(other *timer) bool { return t.at < other.at }

func (t *timer) heapIndex() *int { return &t.index }

func (s *Shard) newRequest(req Request) *request {
	r := s.freeRequests.take()
	*r = request{running: r.running[:0], tried: r.tried[:0], triedHosts: r.triedHosts[:0]}
	s.lastArrivalSeq++
	r.Request = req
	r.arrivalSeq = s.lastArrivalSeq
	r.queueKey = req.Deadline
	if s.Ablation.FIFOQueue {
		r.queueKey = 0
	}
	r.queueIndex = -1
	r.deadline = timer{index: -1, request: r}
	s.requests[req.ID] = r
	return r
}

func (s *Shard) newAttempt(now clock.Millis, r *request, u *upstream) *attempt {
	a := s.freeAttempts.take()
	s.lastAttempt++
	*a = attempt{id: s.lastAttempt, request: r, upstream: u, started: now}
	a.hedge = timer{index: -1, request: r, attempt: a}
	s.attempts[a.id] = a
	return a
}

func (s *Shard) recycleAttempt(a *attempt) {
	a.request = nil
	a.upstream = nil
	s.freeAttempts.put(a)
}

// removeRequest removes a request that needs no further action, and cancels its
// running attempts.
func (s *Shard) removeRequest(r *request) {
	for _, a := range r.running {
		s.timers.remove(&a.hedge)
		a.request = nil
		s.emit(Action{Kind: Cancel, Request: r.ID, Attempt: a.id, Upstream: a.upstream.Name})
	}
	s.queue.remove(r)
	s.timers.remove(&r.deadline)
	delete(s.requests, r.ID)
	s.freeRequests.put(r)
}

func (s *Shard) emit(a Action) { s.out = append(s.out, a) }

// setTimer sets t to be due at the given time, whether or not it was set before.
func (s *Shard) setTimer(t *timer, at clock.Millis) {
	s.timers.remove(t)
	t.at = at
	s.timers.push(t)
}
