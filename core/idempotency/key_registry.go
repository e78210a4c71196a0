package idempotency

import (
	"hash/fnv"

	"siskinpath/core/clock"
)

// Defaults of a Keeper's optional fields.
const (
	DefaultMaxRecords     = 400_000
	DefaultMaxRecordBytes = 128 << 20
	DefaultRetention      = 5 * clock.Minute
	DefaultWindowLength   = clock.Minute
)

// Times after which a refused caller may come back. Each is spread up to twice
// its length by the key, so that callers do not come back together.
const (
	retryWhenFull    = 2 * clock.Second
	retryWhenDown    = clock.Second
	retryAfterExpiry = 100 * clock.Millisecond
)

// KeyRegistry holds what this incarnation of this host knows of keys. Its time must
// never go backwards. Exported fields are set before the first use.
type KeyRegistry struct {
	Incarnation    uint64       // random, new at each start; never zero
	Host           string       // this host's id, written into claims for people to read
	MaxRecords     int          // keys held at once; 0 means DefaultMaxRecords
	MaxRecordBytes int          // bytes held at once; 0 means DefaultMaxRecordBytes
	Retention      clock.Millis // time a key is kept beyond its window and its end; 0 means DefaultRetainFor
	WindowLength   clock.Millis // length of a window; 0 means DefaultWindowSpan

	now      clock.Millis
	byName   map[name]*record
	byID     map[RecordID]*record
	claims   []*record            // those open, in the order in which they were wanted
	expiry   map[uint32][]*record // by the window in which they were last put off
	swept    uint32               // expiry holds nothing below this window
	lastID   RecordID
	attempts uint64
	bytes    int
	counts   Counts
}

func (k *KeyRegistry) init() {
	if k.byName != nil {
		return
	}
	k.byName = map[name]*record{}
	k.byID = map[RecordID]*record{}
	k.expiry = map[uint32][]*record{}
	if k.MaxRecords == 0 {
		k.MaxRecords = DefaultMaxRecords
	}
	if k.MaxRecordBytes == 0 {
		k.MaxRecordBytes = DefaultMaxRecordBytes
	}
	if k.Retention == 0 {
		k.Retention = DefaultRetention
	}
	if k.WindowLength == 0 {
		k.WindowLength = DefaultWindowLength
	}
}

// advance takes the time of an event. A time before an earlier event's counts
// as that event's, so that windows never reopen.
func (k *KeyRegistry) advance(now clock.Millis) {
	k.init()
	k.now = max(k.now, now)
}

// Window returns the key window of now. It rises with time.
func (k *KeyRegistry) Window(now clock.Millis) uint32 {
	k.init()
	return uint32(max(now, 0) / k.WindowLength)
}

// Prefix returns what a key must begin with to be run by this incarnation.
func (k *KeyRegistry) Prefix(now clock.Millis) string {
	return prefix(k.Incarnation, k.Window(now))
}

// floor returns the oldest window of which every key is still known.
func (k *KeyRegistry) floor() uint32 { return k.Window(k.now - k.Retention) }

// Begin decides what to do with a request. The caller of Begin carries out the
// verdict: for Run it calls MaySend right before the first byte and End at the
// end; for Claim it carries out ClaimsWanted and asks ClaimDecided; for Wait it
// answers with what End returns for that record.
func (k *KeyRegistry) Begin(now clock.Millis, req Request, find func(inc uint64) (hostID string, p HostStatus)) (d Decision) {
	k.advance(now)
	k.counts.Requests++
	defer func() { k.counts.verdict(d.Verdict) }()
	if !validKey(req.Key) {
		return invalid(ReasonMalformedKey)
	}
	inc, window, prefixed := ParsePrefix(req.Key)
	switch {
	case prefixed && req.Mode == ModeClaimed, !prefixed && req.Mode == ModeDecide:
		return invalid(ReasonMalformedKey)
	case prefixed && inc != k.Incarnation:
		return k.elsewhere(req, inc, find)
	case prefixed:
		return k.own(req, window)
	case req.Mode == ModeClaimed:
		return k.askedForClaim(req)
	}
	return k.beginClaim(req, find)
}

// elsewhere decides on a key of another incarnation: only that one may run it.
func (k *KeyRegistry) elsewhere(req Request, inc uint64, find HostLookup) Decision {
	if req.Mode == ModeDecide {
		return unknown(ReasonHostGone)
	}
	host, p := find(inc)
	if p == Reachable {
		return Decision{Verdict: Forward, Host: host}
	}
	return unknown(absenceReason(p))
}

// own decides on a key of this incarnation.
func (k *KeyRegistry) own(req Request, window uint32) Decision {
	if r := k.byName[nameOf(req)]; r != nil {
		return k.known(r, req)
	}
	if window > k.Window(k.now) {
		return invalid(ReasonKeyFromFuture)
	}
	if window < k.floor() {
		return unknown(ReasonKeyTooOld)
	}
	if d, ok := k.roomFor(req); !ok {
		return d
	}
	r := k.add(req)
	r.phase = running
	return Decision{Verdict: Run, Record: r.id}
}

// known decides on a key that has a record, other than an idle one.
func (k *KeyRegistry) known(r *record, req Request) Decision {
	if r.fingerprint != req.Fingerprint {
		return invalid(ReasonKeyReused)
	}
	if r.phase != ended {
		r.retry = r.retry || req.Retry
		return Decision{Verdict: Wait, Record: r.id}
	}
	if r.reply.Outcome == OutcomeUnknown {
		return Decision{Verdict: Unknown, Reply: r.reply}
	}
	return Decision{Verdict: Answer, Reply: r.reply}
}

// roomFor refuses a request for which a new record can't be held or is of no
// use. A record is never dropped to make room: its key could then run again.
func (k *KeyRegistry) roomFor(req Request) (d Decision, ok bool) {
	if k.now >= req.Deadline {
		return refuseNew(req, ReasonDeadline, retryAfterExpiry), false
	}
	if len(k.byID) >= k.MaxRecords || k.bytes+nameOf(req).bytes() > k.MaxRecordBytes {
		k.counts.RefusedFull++
		return refuseNew(req, ReasonRecordsFull, retryWhenFull), false
	}
	return Decision{}, true
}

// refuseNew refuses a key of which this host knows nothing. A key with this
// host's prefix has then never run. Of another one that holds for this try only:
// to a caller who has tried before, the answer is that it may have run.
func refuseNew(req Request, reason string, after clock.Millis) Decision {
	after = spread(req.Key, after)
	if _, _, prefixed := ParsePrefix(req.Key); req.Retry && !prefixed {
		d := unknown(reason)
		d.Reply.RetryAfter = after
		return d
	}
	return refuse(reason, after)
}

// MaySend is asked right before the first byte of a request goes to an upstream
// or to another host that is to run it. After true the request counts as sent.
// It is false when the record has ended, was given up, is out on another
// attempt, or when its deadline has passed.
func (k *KeyRegistry) MaySend(now clock.Millis, rec RecordID) bool {
	k.advance(now)
	r := k.byID[rec]
	if r == nil || r.phase != running || r.sent || k.now >= r.deadline {
		k.counts.SendsDenied++
		return false
	}
	r.sent = true
	k.counts.Sends++
	return true
}

// NotSent says that the attempt for which MaySend was true ended for certain
// without running: no byte reached an upstream, or it said so itself.
func (k *KeyRegistry) NotSent(now clock.Millis, rec RecordID) {
	k.advance(now)
	if r := k.byID[rec]; r != nil && r.phase == running {
		r.sent = false
	}
}

// End records the end of rec and returns the reply for the request and for all
// that wait for it. It is the given one, except that NotRun becomes
// OutcomeUnknown for a request that counts as sent, and that a record which has
// ended keeps its first end.
func (k *KeyRegistry) End(now clock.Millis, rec RecordID, reply Reply) Reply {
	k.advance(now)
	r := k.byID[rec]
	if r == nil {
		return reply
	}
	switch {
	case r.settled():
		if k.byName[r.name] != r {
			k.drop(r)
		}
		return r.reply
	case r.phase == passing:
		k.drop(r)
		return reply
	case r.open():
		k.giveUp(r, ReasonDeadline, retryAfterExpiry)
		return r.reply
	case reply.Outcome == NotRun && r.sent:
		reply = Reply{Outcome: OutcomeUnknown, Reason: ReasonSentNoAnswer}
	case reply.Outcome == NotRun:
		k.free(r, reply)
		return reply
	}
	k.record(r, reply)
	return reply // whole, also when it is too large to keep
}

// free lets a key that did not run be run later. A claim stays this host's.
func (k *KeyRegistry) free(r *record, reply Reply) {
	if !r.claimed {
		k.drop(r)
		return
	}
	r.phase = idle
	r.reply = reply
	r.endedAt = k.now
}

// record keeps the end of a request, without its answer when that is too large.
func (k *KeyRegistry) record(r *record, reply Reply) {
	if n := replyBytes(reply); k.bytes+n > k.MaxRecordBytes {
		k.counts.AnswersNotKept++
		reply = Reply{Outcome: OutcomeUnknown, Reason: ReasonAnswerNotKept}
	}
	r.phase = ended
	r.reply = reply
	r.endedAt = k.now
	r.find = nil
	n := replyBytes(reply)
	r.bytes += n
	k.bytes += n
}

// add makes a record for a request.
func (k *KeyRegistry) add(req Request) *record {
	k.lastID++
	r := &record{
		id:          k.lastID,
		name:        nameOf(req),
		fingerprint: req.Fingerprint,
		deadline:    req.Deadline,
	}
	r.bytes = r.name.bytes()
	k.bytes += r.bytes
	k.byID[r.id] = r
	k.byName[r.name] = r
	k.putOff(r, k.Window(k.now))
	return r
}

// drop forgets a record.
func (k *KeyRegistry) drop(r *record) {
	if k.byID[r.id] != r {
		return
	}
	if r.claimed {
		k.forgetClaim(r)
	}
	delete(k.byID, r.id)
	if k.byName[r.name] == r {
		delete(k.byName, r.name)
	}
	k.bytes -= r.bytes
}

// putOff has a record looked at again once window w is no longer retained.
func (k *KeyRegistry) putOff(r *record, w uint32) {
	k.expiry[w] = append(k.expiry[w], r)
}

// Tick gives up claims whose deadline has passed and forgets what is older than
// is retained. It is called at least once a second.
func (k *KeyRegistry) Tick(now clock.Millis) {
	k.advance(now)
	k.expireClaims()
	for floor := k.floor(); k.swept < floor; k.swept++ {
		due := k.expiry[k.swept]
		delete(k.expiry, k.swept)
		for _, r := range due {
			k.expire(r, floor)
		}
	}
}

// expire drops a record of a window before floor, or puts it off.
func (k *KeyRegistry) expire(r *record, floor uint32) {
	if k.byID[r.id] != r {
		return
	}
	if !r.settled() {
		k.putOff(r, max(floor, k.Window(k.now)))
		return
	}
	if w := k.Window(r.endedAt); w >= floor {
		k.putOff(r, w)
		return
	}
	k.drop(r)
	k.counts.Expired++
}

func nameOf(req Request) name {
	return name{service: req.Service, organisation: req.Organisation, key: req.Key}
}

func unknown(reason string) Decision {
	return Decision{Verdict: Unknown, Reply: Reply{Outcome: OutcomeUnknown, Reason: reason}}
}

func refuse(reason string, after clock.Millis) Decision {
	return Decision{Verdict: Refuse, Reply: Reply{Outcome: NotRun, Reason: reason, RetryAfter: after}}
}

func invalid(reason string) Decision {
	return Decision{Verdict: Invalid, Reply: Reply{Outcome: NotRun, Reason: reason}}
}

func absenceReason(p HostStatus) string {
	switch p {
	case Terminated:
		return ReasonHostGone
	case NeverSeen:
		return ReasonHostNeverHeard
	}
	return ReasonHostUnreachable
}

// spread returns base to twice base, by the key.
func spread(key string, base clock.Millis) clock.Millis {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key))
	return base + clock.Millis(h.Sum32())%(base+1)
}
