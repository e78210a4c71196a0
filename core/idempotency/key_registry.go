package idempotency

import (
	"hash/fnv"

	"siskinpath/core/clock"
)

// Defaults for the optional fields of KeyRegistry.
const (
	DefaultMaxRecords     = 400_000
	DefaultMaxRecordBytes = 128 << 20
	DefaultRetention      = 5 * clock.Minute
	DefaultWindowLength   = clock.Minute
)

// Retry delays for refused callers. jitter extends each by up to its own length,
// so that callers do not retry at the same moment.
const (
	retryWhenFull    = 2 * clock.Second
	retryWhenDown    = clock.Second
	retryAfterExpiry = 100 * clock.Millisecond
	// restoreGuard is how long no key is claimed after the platform has come back from
	// an older copy of its rows: within it callers ask again for keys whose claims the
	// copy lacks.
	restoreGuard = clock.Minute
)

// KeyRegistry holds the records of the idempotency keys that this incarnation of
// this host has seen. The time passed to it must never go backwards. Exported
// fields are set before the first use.
type KeyRegistry struct {
	Incarnation    uint64       // random, drawn at each process start; never zero
	Host           string       // this host's id, written into claim rows for diagnosis only
	MaxRecords     int          // limit of stored keys; 0 means DefaultMaxRecords
	MaxRecordBytes int          // limit of stored bytes; 0 means DefaultMaxRecordBytes
	Retention      clock.Millis // how long a key is kept after its window and its end; 0 means DefaultRetention
	WindowLength   clock.Millis // length of a key window; 0 means DefaultWindowLength

	now          clock.Millis
	guardedUntil clock.Millis // see restoreGuard
	byKey        map[scopedKey]*record
	byID         map[RecordID]*record
	claims       []*record            // open claims in order of arrival
	expiry       map[uint32][]*record // records to check for expiry, by window
	swept        uint32               // expiry has no entries below this window
	lastID       RecordID
	attempts     uint64
	bytes        int
	counts       Counts
}

func (k *KeyRegistry) init() {
	if k.byKey != nil {
		return
	}
	k.byKey = map[scopedKey]*record{}
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

// advance sets the current time. A time earlier than the previous one is
// ignored, so that windows never reopen.
func (k *KeyRegistry) advance(now clock.Millis) {
	k.init()
	k.now = max(k.now, now)
}

// Window returns the number of the key window that contains now. It never
// decreases as time passes.
func (k *KeyRegistry) Window(now clock.Millis) uint32 {
	k.init()
	return uint32(max(now, 0) / k.WindowLength)
}

// Prefix returns the prefix that a key needs in order to run in this incarnation
// without a claim.
func (k *KeyRegistry) Prefix(now clock.Millis) string {
	return prefix(k.Incarnation, k.Window(now))
}

// floor returns the oldest window whose keys are all still on record.
func (k *KeyRegistry) floor() uint32 { return k.Window(k.now - k.Retention) }

// Begin decides what to do with a request. Its caller carries out the verdict:
//   - Run: call MaySend right before sending the first byte, and End when done.
//   - Claim: carry out NextClaimWrites and NextClaimReads, then ask ClaimDecision.
//   - Wait: answer with the reply that End returns for that record.
func (k *KeyRegistry) Begin(now clock.Millis, req Request, lookup func(inc uint64) (hostID string, status HostStatus)) (d Decision) {
	k.advance(now)
	k.counts.Requests++
	defer func() { k.counts.add(d.Verdict) }()
	if !validKey(req.Key) {
		return invalid(ReasonMalformedKey)
	}
	inc, window, prefixed := ParsePrefix(req.Key)
	switch {
	case prefixed && req.Mode == ModeClaimed, !prefixed && req.Mode == ModeDecide:
		return invalid(ReasonMalformedKey)
	case prefixed && inc != k.Incarnation:
		return k.decideForeign(req, inc, lookup)
	case prefixed:
		return k.decideOwn(req, window)
	case req.Mode == ModeClaimed:
		return k.decideClaimedHere(req)
	}
	return k.beginClaim(req, lookup)
}

// decideForeign decides on a key with the prefix of another incarnation, which
// alone may run it.
func (k *KeyRegistry) decideForeign(req Request, inc uint64, lookup HostLookup) Decision {
	if req.Mode == ModeDecide {
		return unknown(ReasonHostGone)
	}
	host, status := lookup(inc)
	if status == Reachable {
		return Decision{Verdict: Forward, Host: host}
	}
	return unknown(unavailableReason(status))
}

// decideOwn decides on a key with the prefix of this incarnation.
func (k *KeyRegistry) decideOwn(req Request, window uint32) Decision {
	if r := k.byKey[scopedKeyOf(req)]; r != nil {
		return k.decideKnown(r, req)
	}
	if window > k.Window(k.now) {
		return invalid(ReasonKeyFromFuture)
	}
	if window < k.floor() {
		return unknown(ReasonKeyTooOld)
	}
	if d, ok := k.checkCapacity(req); !ok {
		return d
	}
	r := k.add(req)
	r.phase = running
	return Decision{Verdict: Run, Record: r.id}
}

// decideKnown decides on a key that has a record which is not idle.
func (k *KeyRegistry) decideKnown(r *record, req Request) Decision {
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

// checkCapacity refuses a request when there is no room for a new record or its
// deadline has passed. No record is evicted to make room, because its key could
// then run again.
func (k *KeyRegistry) checkCapacity(req Request) (d Decision, ok bool) {
	if k.now >= req.Deadline {
		return refuseNew(req, ReasonDeadline, retryAfterExpiry), false
	}
	if len(k.byID) >= k.MaxRecords || k.bytes+scopedKeyOf(req).bytes() > k.MaxRecordBytes {
		k.counts.RefusedFull++
		return refuseNew(req, ReasonRecordsFull, retryWhenFull), false
	}
	return Decision{}, true
}

// refuseNew refuses a key that has no record here. A key with this host's prefix
// has then never run. A key without a prefix may have run on another host in an
// earlier try, so a caller that has tried before gets an unknown outcome.
func refuseNew(req Request, reason string, after clock.Millis) Decision {
	after = jitter(req.Key, after)
	if _, _, prefixed := ParsePrefix(req.Key); req.Retry && !prefixed {
		d := unknown(reason)
		d.Reply.RetryAfter = after
		return d
	}
	return refuse(reason, after)
}

// MaySend reports whether a request may be sent. It is called right before the
// first byte goes to an upstream or to another host that is to run it. When it
// returns true, it marks the request as sent. It returns false when the record
// has ended or was given up, when another attempt has already been sent, or when
// the deadline has passed.
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

// NotSent undoes the mark set by MaySend. The attempt must be certain not to have
// run: no byte reached an upstream, or the upstream itself refused the request.
func (k *KeyRegistry) NotSent(now clock.Millis, rec RecordID) {
	k.advance(now)
	if r := k.byID[rec]; r != nil && r.phase == running {
		r.sent = false
	}
}

// End records the reply of rec and returns the reply for the request and for all
// requests that wait for it. That is the given reply, with these exceptions: NotRun
// becomes OutcomeUnknown for a request marked as sent, a record that has already
// ended keeps its first reply, and a claim that is still open is given up.
func (k *KeyRegistry) End(now clock.Millis, rec RecordID, reply Reply) Reply {
	k.advance(now)
	r := k.byID[rec]
	if r == nil {
		return reply
	}
	switch {
	case r.settled():
		if k.byKey[r.key] != r {
			k.drop(r)
		}
		return r.reply
	case r.phase == forwarding:
		k.drop(r)
		return reply
	case r.open():
		k.giveUp(r, ReasonDeadline, retryAfterExpiry)
		return r.reply
	case reply.Outcome == NotRun && r.sent:
		reply = Reply{Outcome: OutcomeUnknown, Reason: ReasonSentNoAnswer}
	case reply.Outcome == NotRun:
		k.release(r, reply)
		return reply
	}
	k.record(r, reply)
	return reply // in full, even when it is too large to keep
}

// release lets a key that did not run be run later. A claim stays with this host.
func (k *KeyRegistry) release(r *record, reply Reply) {
	if !r.claimed {
		k.drop(r)
		return
	}
	r.phase = idle
	r.reply = reply
	r.endedAt = k.now
}

// record stores the reply of a request. A reply that would take the stored bytes
// beyond MaxRecordBytes is replaced by an unknown outcome.
func (k *KeyRegistry) record(r *record, reply Reply) {
	if n := replyBytes(reply); k.bytes+n > k.MaxRecordBytes {
		k.counts.AnswersNotKept++
		reply = Reply{Outcome: OutcomeUnknown, Reason: ReasonAnswerNotKept}
	}
	r.phase = ended
	r.reply = reply
	r.endedAt = k.now
	r.lookup = nil
	n := replyBytes(reply)
	r.bytes += n
	k.bytes += n
}

// add creates the record of a request.
func (k *KeyRegistry) add(req Request) *record {
	k.lastID++
	r := &record{
		id:          k.lastID,
		key:         scopedKeyOf(req),
		fingerprint: req.Fingerprint,
		deadline:    req.Deadline,
	}
	r.bytes = r.key.bytes()
	k.bytes += r.bytes
	k.byID[r.id] = r
	k.byKey[r.key] = r
	k.scheduleExpiry(r, k.Window(k.now))
	return r
}

// drop deletes a record, and its claim if that is open.
func (k *KeyRegistry) drop(r *record) {
	if k.byID[r.id] != r {
		return
	}
	if r.claimed {
		k.removeOpenClaim(r)
	}
	delete(k.byID, r.id)
	if k.byKey[r.key] == r {
		delete(k.byKey, r.key)
	}
	k.bytes -= r.bytes
}

// scheduleExpiry has expire check a record once window w is no longer retained.
func (k *KeyRegistry) scheduleExpiry(r *record, w uint32) {
	k.expiry[w] = append(k.expiry[w], r)
}

// Tick gives up claims whose deadline has passed and drops records older than the
// retention. It must be called at least once a second.
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

// expire drops a record of a window before floor. A record that is in use or
// ended in a later window is rescheduled.
func (k *KeyRegistry) expire(r *record, floor uint32) {
	if k.byID[r.id] != r {
		return
	}
	if !r.settled() {
		k.scheduleExpiry(r, max(floor, k.Window(k.now)))
		return
	}
	if w := k.Window(r.endedAt); w >= floor {
		k.scheduleExpiry(r, w)
		return
	}
	k.drop(r)
	k.counts.Expired++
}

func scopedKeyOf(req Request) scopedKey {
	return scopedKey{service: req.Service, organisation: req.Organisation, key: req.Key}
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

func unavailableReason(status HostStatus) string {
	switch status {
	case Terminated:
		return ReasonHostGone
	case NeverSeen:
		return ReasonHostNeverHeard
	}
	return ReasonHostUnreachable
}

// jitter returns a delay from base to twice base, derived from the key.
func jitter(key string, base clock.Millis) clock.Millis {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key))
	return base + clock.Millis(h.Sum32())%(base+1)
}
