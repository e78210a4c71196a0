package fleetlimit

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"siskinpath/core/clock"
	"siskinpath/core/membership"
)

const (
	// AnswerTimeout is how long a holder has to answer: several round trips to another
	// availability zone.
	AnswerTimeout = 60 * clock.Millisecond
	// silentPause is how long a holder that has not answered is not asked.
	silentPause = clock.Second
	// maxWait is how long a request may wait for its token. The bound of a quota counts
	// requests by the time at which they were sent, so tokens must not come much later for
	// some than for others.
	maxWait = 200 * clock.Millisecond
	// unknownRetryAfter is the retry delay of a request for which no holder has answered.
	unknownRetryAfter = 300 * clock.Millisecond
	// minRetryAfter is the shortest retry delay of a request beyond the quota.
	minRetryAfter = 50 * clock.Millisecond
)

// RequestID names a request that waits for a token. The caller of Asker chooses it.
type RequestID uint64

// MessageID names a message of an Asker to a holder.
type MessageID uint64

// ActionKind is what the caller of an Asker must do.
type ActionKind int

// Kinds of actions.
const (
	Ask     ActionKind = iota + 1 // send a message to a holder
	Admit                         // let a request go on
	Deny                          // refuse a request: its organisation has used its quota
	Unknown                       // refuse a request: no holder has answered
)

// Action is something that the caller of an Asker must do.
type Action struct {
	Kind         ActionKind
	Organisation string

	// Of Ask:
	Message MessageID
	Holder  string // may be this host itself
	Count   int    // tokens to ask for

	// Of all others:
	Request    RequestID
	RetryAfter clock.Millis // of Deny and Unknown
}

// Asker asks the holders of organisations' quotas for a token for each request. It is a
// state machine: each method takes the current time and returns what to do. Set the
// exported fields before the first call.
type Asker struct {
	Self Member
	Rand *rand.Rand

	organisations map[string]*askedQuota
	silentUntil   map[string]clock.Millis // by holder
	messages      map[MessageID]*message  // in flight
	waiting       map[RequestID]*waiter
	lastMessage   MessageID
}

// askedQuota is an organisation's quota as this host asks for it.
type askedQuota struct {
	name   string
	limit  Limit
	order  []string // holders, in the order of asking
	queues map[string]*queue
	used   float64
	usedOf clock.Millis // when used was reported
}

// queue holds the requests of one organisation that wait for one holder.
type queue struct {
	waiting     []*waiter
	asked       *message // in flight; nil without
	deniedUntil clock.Millis
	// notHolderUntil is set if the host has replied that it holds no share.
	notHolderUntil clock.Millis
}

type message struct {
	quota    *askedQuota
	holder   string
	requests []*waiter
	timeout  clock.Millis // point in time
}

type waiter struct {
	id     RequestID
	quota  *askedQuota
	since  clock.Millis
	tried  []string // holders that have been asked for it
	denied bool     // a holder has answered that it has no token
	ended  bool
}

// Quota is an organisation's quota with the holders of its shares.
type Quota struct {
	Limit   Limit
	Holders []Member
}

// Configure replaces the quotas, by organisation. Requests that wait for a token of a
// quota that is gone are admitted, and those that wait for a host that is no holder any
// more ask another.
func (a *Asker) Configure(now clock.Millis, quotas map[string]Quota) (actions []Action) {
	a.init()
	for name, q := range a.organisations {
		if _, limited := quotas[name]; !limited {
			delete(a.organisations, name)
			actions = append(actions, a.admitAll(q)...)
		}
	}
	for name, quota := range quotas {
		q := a.organisations[name]
		if q == nil {
			q = &askedQuota{name: name, queues: map[string]*queue{}}
			a.organisations[name] = q
		}
		actions = append(actions, a.reconfigure(now, q, quota)...)
	}
	return actions
}

func (a *Asker) init() {
	if a.organisations != nil {
		return
	}
	a.organisations = map[string]*askedQuota{}
	a.silentUntil = map[string]clock.Millis{}
	a.messages = map[MessageID]*message{}
	a.waiting = map[RequestID]*waiter{}
}

func (a *Asker) reconfigure(now clock.Millis, q *askedQuota, quota Quota) (actions []Action) {
	q.order = a.order(q.name, quota.Holders)
	if q.limit != quota.Limit {
		q.limit = quota.Limit
		for _, queue := range q.queues {
			queue.deniedUntil = 0 // holds for the former limit
		}
	}
	for holder, queue := range q.queues {
		if slices.Contains(q.order, holder) {
			continue
		}
		moved := queue.waiting
		queue.waiting = nil
		if queue.asked == nil {
			delete(q.queues, holder)
		}
		actions = append(actions, a.placeAll(now, moved)...)
	}
	return actions
}

// order returns the holders in the order of asking: this host itself, then those of its
// availability zone, then the others. A hash of host and organisation spreads the hosts
// over them.
func (a *Asker) order(organisation string, holders []Member) (ids []string) {
	key := a.Self.ID + "/" + organisation
	rank := func(m Member) int {
		switch {
		case m.ID == a.Self.ID:
			return 0
		case m.AvailabilityZone == a.Self.AvailabilityZone:
			return 1
		}
		return 2
	}
	holders = slices.Clone(holders)
	slices.SortFunc(holders, func(x, y Member) int {
		return cmp.Or(cmp.Compare(rank(x), rank(y)),
			cmp.Compare(membership.RendezvousWeight(key, y.ID), membership.RendezvousWeight(key, x.ID)), cmp.Compare(x.ID, y.ID))
	})
	for _, m := range holders {
		ids = append(ids, m.ID)
	}
	return ids
}

// admitAll admits all requests that wait for tokens of a quota.
func (a *Asker) admitAll(q *askedQuota) (actions []Action) {
	for _, w := range a.waiting {
		if w.quota == q {
			actions = append(actions, a.end(w, Action{Kind: Admit}))
		}
	}
	return actions
}

// Request asks for a token for a request. The request is refused as Unknown if Configure
// has set no quota of its organisation.
func (a *Asker) Request(now clock.Millis, id RequestID, organisation string) []Action {
	a.init()
	q := a.organisations[organisation]
	if q == nil {
		return []Action{{Kind: Unknown, Organisation: organisation, Request: id, RetryAfter: a.jitter(unknownRetryAfter)}}
	}
	w := &waiter{id: id, quota: q, since: now}
	a.waiting[id] = w
	return a.placeAll(now, []*waiter{w})
}

// Withdraw removes a request whose caller has left. Its token, if one comes, stays unused.
func (a *Asker) Withdraw(id RequestID) {
	if w := a.waiting[id]; w != nil {
		w.ended = true
		delete(a.waiting, id)
	}
}

// placeAll puts requests into the queue of the first holder that may have a token, or
// refuses them if there is none.
func (a *Asker) placeAll(now clock.Millis, list []*waiter) (actions []Action) {
	for _, w := range list {
		if w.ended {
			continue
		}
		holder := a.next(now, w)
		if holder == "" {
			actions = append(actions, a.refuse(now, w))
			continue
		}
		w.tried = append(w.tried, holder)
		queue := w.quota.queue(holder)
		queue.waiting = append(queue.waiting, w)
	}
	for _, w := range list {
		if !w.ended {
			actions = append(actions, a.send(now, w.quota, w.tried[len(w.tried)-1])...)
		}
	}
	return actions
}

// next returns the first holder that may have a token for a request, "" for none.
func (a *Asker) next(now clock.Millis, w *waiter) string {
	if now-w.since > maxWait-AnswerTimeout {
		return ""
	}
	for _, holder := range w.quota.order {
		switch {
		case w.quota.queue(holder).deniedUntil > now:
			w.denied = true
		case slices.Contains(w.tried, holder):
		case a.silentUntil[holder] > now || w.quota.queue(holder).notHolderUntil > now:
		default:
			return holder
		}
	}
	return ""
}

func (q *askedQuota) queue(holder string) *queue {
	if q.queues[holder] == nil {
		q.queues[holder] = &queue{}
	}
	return q.queues[holder]
}

// refuse refuses a request that finds no holder to ask.
func (a *Asker) refuse(now clock.Millis, w *waiter) Action {
	if !w.denied {
		return a.end(w, Action{Kind: Unknown, RetryAfter: a.jitter(unknownRetryAfter)})
	}
	var soonest clock.Millis
	for _, holder := range w.quota.order {
		if until := w.quota.queue(holder).deniedUntil; until > now && (soonest == 0 || until < soonest) {
			soonest = until
		}
	}
	return a.end(w, Action{Kind: Deny, RetryAfter: a.jitter(max(minRetryAfter, soonest-now))})
}

// jitter spreads a retry delay over half of itself, so that callers don't all come back at
// the same time.
func (a *Asker) jitter(after clock.Millis) clock.Millis {
	return after + clock.Millis(a.Rand.Int64N(int64(after)/2+1))
}

// end ends a request's wait with an action.
func (a *Asker) end(w *waiter, action Action) Action {
	w.ended = true
	delete(a.waiting, w.id)
	action.Organisation, action.Request = w.quota.name, w.id
	return action
}

// send asks a holder for tokens for all requests that wait for it, unless a message is in
// flight.
func (a *Asker) send(now clock.Millis, q *askedQuota, holder string) []Action {
	queue := q.queue(holder)
	queue.waiting = slices.DeleteFunc(queue.waiting, func(w *waiter) bool { return w.ended })
	if queue.asked != nil || len(queue.waiting) == 0 {
		return nil
	}
	queue.asked = &message{quota: q, holder: holder, requests: queue.waiting, timeout: now + AnswerTimeout}
	queue.waiting = nil
	a.lastMessage++
	a.messages[a.lastMessage] = queue.asked
	return []Action{{Kind: Ask, Organisation: q.name, Message: a.lastMessage, Holder: holder, Count: len(queue.asked.requests)}}
}

// Answer records a holder's answer to a message. One that comes after the message has
// failed or timed out is ignored, and its tokens are lost.
func (a *Asker) Answer(now clock.Millis, id MessageID, answer Answer) []Action {
	m := a.messages[id]
	if m == nil {
		return nil
	}
	delete(a.silentUntil, m.holder)
	if answer.NotHolder {
		m.quota.queue(m.holder).notHolderUntil = now + silentPause
		return a.close(now, id, m.requests)
	}
	m.quota.used, m.quota.usedOf = answer.Used, now
	actions, rest := a.grant(now, m, answer.Granted)
	if answer.RetryAfter > 0 {
		m.quota.queue(m.holder).deniedUntil = now + answer.RetryAfter
		for _, w := range rest {
			w.denied = true
		}
	}
	return append(actions, a.close(now, id, rest)...)
}

// grant admits as many requests of a message as there are tokens, and returns the rest. A
// request that has waited too long gets none: its token would count for a later window.
func (a *Asker) grant(now clock.Millis, m *message, tokens int) (actions []Action, rest []*waiter) {
	for _, w := range m.requests {
		switch {
		case w.ended:
		case tokens > 0 && now-w.since <= maxWait:
			tokens--
			actions = append(actions, a.end(w, Action{Kind: Admit}))
		default:
			rest = append(rest, w)
		}
	}
	return actions, rest
}

// Fail records that a message has not been answered, or by a host that is no holder. The
// host is not asked for a while.
func (a *Asker) Fail(now clock.Millis, id MessageID) []Action {
	m := a.messages[id]
	if m == nil {
		return nil
	}
	a.silentUntil[m.holder] = now + silentPause
	return a.close(now, id, m.requests)
}

// close ends a message. The rest of its requests ask other holders, and those that have
// come meanwhile ask this one if they still may.
func (a *Asker) close(now clock.Millis, id MessageID, rest []*waiter) []Action {
	m := a.messages[id]
	delete(a.messages, id)
	queue := m.quota.queue(m.holder)
	queue.asked = nil
	if queue.deniedUntil > now || queue.notHolderUntil > now || a.silentUntil[m.holder] > now {
		rest = append(rest, queue.waiting...)
		queue.waiting = nil
	}
	actions := a.send(now, m.quota, m.holder)
	return append(actions, a.placeAll(now, rest)...)
}

// Tick fails the messages that have not been answered in time.
func (a *Asker) Tick(now clock.Millis) (actions []Action) {
	var late []MessageID
	for id, m := range a.messages {
		if now >= m.timeout {
			late = append(late, id)
		}
	}
	slices.Sort(late)
	for _, id := range late {
		actions = append(actions, a.Fail(now, id)...)
	}
	return actions
}

// NextTick returns when Tick must be called next, 0 for never.
func (a *Asker) NextTick() (at clock.Millis) {
	for _, m := range a.messages {
		if at == 0 || m.timeout < at {
			at = m.timeout
		}
	}
	return at
}

// Used returns the fraction of an organisation's quota that was used lately, by the latest
// answer of a holder within the last max; 0 without one.
func (a *Asker) Used(now clock.Millis, organisation string, within clock.Millis) float64 {
	q := a.organisations[organisation]
	if q == nil || q.usedOf == 0 || now-q.usedOf > within {
		return 0
	}
	return q.used
}

// Waiting returns the number of requests that wait for a token.
func (a *Asker) Waiting() int { return len(a.waiting) }

// Silent returns the hosts that are not asked since they have not answered, in
// alphabetical order.
func (a *Asker) Silent(now clock.Millis) (holders []string) {
	for holder, until := range a.silentUntil {
		if until > now {
			holders = append(holders, holder)
		}
	}
	slices.Sort(holders)
	return holders
}
