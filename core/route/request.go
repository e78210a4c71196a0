package route

import "siskinpath/core/clock"

// request is a request that has not had its final action yet.
type request struct {
	Request
	arrivalSeq uint64       // of arrival
	queueKey   clock.Millis // first order in the queue, smallest first; then by arrival
	queueIndex int
	deadline   timer
	running    []*attempt
	tried      []*upstream // where an attempt failed
	triedHosts []string    // hosts it was forwarded to in vain
	attempts   int
	hedged     bool
	forwarded  bool
	mayHaveRun bool         // an attempt ended without telling that it did not run
	retryAfter clock.Millis // longest told by another host
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

// attempt is one sending of a request. It outlives its request when it was
// cancelled, since it holds its slot until its end is told.
type attempt struct {
	id         AttemptID
	request    *request // nil once the request is settled
	upstream   *upstream
	started    clock.Millis
	timedOut   bool // its request's deadline passed while it was in flight
	hedge      timer
	prev, next *attempt // in the upstream's order of start
}

// timer is a point in time at which a request wants attention.
type timer struct {
	at      clock.Millis
	index   int
	request *request
	attempt *attempt // nil for the request's deadline
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

// removeRequest removes a request that needs no further action, and cancels what runs
// for it.
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

// setTimer sets the timer of a request's deadline.
func (s *Shard) setTimer(t *timer, at clock.Millis) {
	s.timers.remove(t)
	t.at = at
	s.timers.push(t)
}
