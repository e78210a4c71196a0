package idempotency

import (
	"encoding/json"

	"github.com/pkg/errors"

	"siskinpath/core/clock"
)

// MaxClaims is the largest number of claims of one transaction.
const MaxClaims = 128

// ClaimWrite is a row to write, if its version is still ExpectVersion.
type ClaimWrite struct {
	Record        RecordID
	RowKey        string
	Value         string
	ExpectVersion uint64 // 0: the row must be absent
}

// ClaimRead is a row to read back, because a write's reply was lost.
type ClaimRead struct {
	Record RecordID
	RowKey string
}

// ClaimOutcomeKind says how the write or the read of a claim ended.
type ClaimOutcomeKind int

// Ends of a claim's write or read.
const (
	ClaimCommitted    ClaimOutcomeKind = iota // the write was applied
	ClaimTaken                                // the row has another version: Value and Version are what it holds
	ClaimAbsent                               // a read found no row
	ClaimReplyLost                            // the write's reply was lost: it may have been applied, or be applied later
	ClaimPlatformDown                         // the platform can't be reached
	ClaimRetry                                // not applied for the sake of another row in the transaction
)

// ClaimOutcome is the end of a claim's write or read.
type ClaimOutcome struct {
	Kind    ClaimOutcomeKind
	Value   string // for ClaimTaken
	Version uint64 // for ClaimTaken; for ClaimCommitted the new version, or 0
}

// claimRow is the value of a claim's row.
type claimRow struct {
	Host         string `json:"host"`
	Incarnation  uint64 `json:"incarnation"`
	Attempt      uint64 `json:"attempt"`
	Organisation string `json:"organisation"`
}

// decodeClaim reads the value of a claim's row.
func decodeClaim(value string) (row claimRow, err error) {
	if err := json.Unmarshal([]byte(value), &row); err != nil {
		return claimRow{}, errors.WithMessage(err, "claim")
	}
	if row.Incarnation == 0 {
		return claimRow{}, errors.New("claim: incarnation is missing")
	}
	return row, nil
}

// RowKey returns the key of the claim's row. Services and organisations have no
// slash in their names, so two keys never share a row.
func RowKey(service, organisation, key string) string {
	return "claim/" + service + "/" + organisation + "/" + key
}

// beginClaim decides on a key without a prefix.
func (k *KeyRegistry) beginClaim(req Request, find HostLookup) Decision {
	r := k.byName[nameOf(req)]
	if r != nil && r.phase != idle {
		return k.known(r, req)
	}
	unsentSince := uint64(0)
	if r != nil {
		if k.now >= req.Deadline {
			return refuseNew(req, ReasonDeadline, retryAfterExpiry)
		}
		unsentSince = r.unsentSince
		k.drop(r)
	} else if d, ok := k.roomFor(req); !ok {
		return d
	}
	next := k.add(req)
	next.claimed = true
	next.retry = req.Retry
	next.find = find
	if r != nil && r.held {
		next.attempt, next.unsentSince = r.attempt, unsentSince
		next.held = true
		next.phase = running
		return Decision{Verdict: Run, Record: next.id}
	}
	k.attempts++
	next.attempt = k.attempts
	next.unsentSince = next.attempt
	if r != nil {
		next.unsentSince = unsentSince
	}
	next.phase = claimWanted
	k.claims = append(k.claims, next)
	return Decision{Verdict: Claim, Record: next.id}
}

// askedForClaim decides on a key for which another host found this host's claim.
func (k *KeyRegistry) askedForClaim(req Request) Decision {
	r := k.byName[nameOf(req)]
	if r == nil {
		return unknown(ReasonClaimForgotten)
	}
	if r.phase == passing {
		// The claim has moved on since the other host read it. Waiting here
		// could make two hosts wait for each other.
		return unknown(ReasonClaimMoved)
	}
	if r.phase != idle {
		return k.known(r, req)
	}
	// The row may name an earlier process of this host, or an attempt that has
	// been forgotten: of these this record knows nothing.
	row, err := decodeClaim(req.ClaimRow)
	if err != nil || row.Incarnation != k.Incarnation || row.Attempt < r.unsentSince {
		return unknown(ReasonClaimForgotten)
	}
	r.held = false
	k.counts.ClaimsGivenUp++
	d := refuse(r.reply.Reason, r.reply.RetryAfter)
	d.GivenUp = true
	return d
}

// NextClaimWrites returns the claims to write now, at most MaxClaims, all in one
// transaction. Each must be followed by a ClaimResult.
func (k *KeyRegistry) NextClaimWrites(now clock.Millis) []ClaimWrite {
	var writes []ClaimWrite
	for _, r := range k.advanceClaims(now, claimWanted, claimWriting) {
		writes = append(writes, ClaimWrite{
			Record:        r.id,
			RowKey:        r.rowKey(),
			Value:         k.rowValue(r),
			ExpectVersion: r.expectVersion,
		})
	}
	k.counts.ClaimWrites += len(writes)
	if len(writes) > 0 {
		k.counts.ClaimTransactions++
	}
	return writes
}

// NextClaimReads returns the rows to read back now, at most MaxClaims. Each
// must be followed by a ClaimResult: ClaimTaken with what the row holds,
// ClaimAbsent or ClaimDown.
func (k *KeyRegistry) NextClaimReads(now clock.Millis) []ClaimRead {
	var reads []ClaimRead
	for _, r := range k.advanceClaims(now, claimReading, claimReadOut) {
		reads = append(reads, ClaimRead{Record: r.id, RowKey: r.rowKey()})
	}
	k.counts.ClaimReads += len(reads)
	return reads
}

// advanceClaims moves at most MaxClaims open claims from one phase to the next
// and returns them.
func (k *KeyRegistry) advanceClaims(now clock.Millis, from, to phase) []*record {
	k.advance(now)
	k.expireClaims()
	var moved []*record
	for _, r := range k.claims {
		if r.phase == from && len(moved) < MaxClaims {
			r.phase = to
			moved = append(moved, r)
		}
	}
	return moved
}

func (r *record) rowKey() string { return RowKey(r.name.service, r.name.organisation, r.name.key) }

// HandleClaimOutcome takes the end of a claim's write or read. A result for a claim
// that was given up in the meantime changes nothing.
func (k *KeyRegistry) HandleClaimOutcome(now clock.Millis, rec RecordID, out ClaimOutcome) {
	k.advance(now)
	r := k.byID[rec]
	if r == nil || !r.open() {
		return
	}
	if k.now >= r.deadline {
		k.giveUp(r, ReasonDeadline, retryAfterExpiry)
		return
	}
	switch out.Kind {
	case ClaimCommitted:
		k.granted(r)
	case ClaimTaken:
		k.taken(r, out)
	case ClaimAbsent:
		k.absent(r)
	case ClaimRetry:
		r.phase = claimWanted
	case ClaimReplyLost:
		k.counts.ClaimsLost++
		r.phase = claimReading
	case ClaimPlatformDown:
		k.giveUp(r, ReasonPlatformDown, retryWhenDown)
	}
}

// absent looks at a read that found no row. The lost write may still be applied,
// so the very same one is tried again.
func (k *KeyRegistry) absent(r *record) {
	if r.expectVersion != 0 {
		k.settle(r, ReasonClaimForgotten)
		return
	}
	r.phase = claimWanted
}

// granted lets a record run: the row names this host and attempt.
func (k *KeyRegistry) granted(r *record) {
	r.held = true
	r.phase = running
	k.forgetClaim(r)
}

// taken looks at a row that is not as the write expected it.
func (k *KeyRegistry) taken(r *record, out ClaimOutcome) {
	row, err := decodeClaim(out.Value)
	if err != nil {
		k.counts.ClaimsUnreadable++
		k.settle(r, ReasonClaimUnreadable)
		return
	}
	if row.Incarnation != k.Incarnation {
		k.takenElsewhere(r, row.Incarnation, out)
		return
	}
	switch {
	case row.Attempt == r.attempt:
		k.granted(r)
	case row.Attempt >= r.unsentSince:
		// An earlier attempt of ours that was given up without a byte sent.
		r.expectVersion = out.Version
		r.phase = claimWanted
	default:
		k.settle(r, ReasonClaimForgotten)
	}
}

// takenElsewhere passes a request to the claimant, if it can be asked.
func (k *KeyRegistry) takenElsewhere(r *record, inc uint64, out ClaimOutcome) {
	host, p := r.find(inc)
	if p != Reachable {
		k.settle(r, absenceReason(p))
		return
	}
	r.host, r.claimRow = host, out.Value
	r.expectVersion = out.Version
	r.phase = passing // still among k.claims, so that its deadline ends it
}

// settle records that the outcome of a claimed key can't be told.
func (k *KeyRegistry) settle(r *record, reason string) {
	k.forgetClaim(r)
	k.record(r, Reply{Outcome: OutcomeUnknown, Reason: reason})
	if reason == ReasonHostUnreachable || reason == ReasonHostNeverHeard {
		// A later retry may find the claimant: only this request ends here.
		delete(k.byName, r.name)
	}
}

// TakeOver says that the claimant to which rec was passed answered that it never
// sent the request and never will. The claim is then wanted again, on condition
// that the row is still the one that was found.
func (k *KeyRegistry) TakeOver(now clock.Millis, rec RecordID) {
	k.advance(now)
	r := k.byID[rec]
	if r == nil || r.phase != passing {
		return
	}
	k.counts.TakeOvers++
	r.phase = claimWanted
}

// ClaimDecision returns what became of a claim: Run, Pass to the claimant, Unknown
// or Refuse; false while it is open.
func (k *KeyRegistry) ClaimDecision(rec RecordID) (d Decision, ok bool) {
	r := k.byID[rec]
	switch {
	case r == nil:
		return unknown(ReasonClaimForgotten), true
	case r.phase == running:
		return Decision{Verdict: Run, Record: rec}, true
	case r.phase == passing:
		return Decision{Verdict: Forward, Record: rec, Host: r.host, Claimed: true, ClaimRow: r.claimRow}, true
	case r.phase == idle && r.reply.Outcome == NotRun:
		return Decision{Verdict: Refuse, Record: rec, Reply: r.reply}, true
	case r.settled() && r.reply.Outcome == OutcomeUnknown:
		return Decision{Verdict: Unknown, Record: rec, Reply: r.reply}, true
	case r.phase == ended:
		return Decision{Verdict: Answer, Record: rec, Reply: r.reply}, true
	}
	return Decision{}, false
}

// giveUp ends a claim that has sent nothing. This host never sends on that
// attempt: a later request for the key gets a new one. To a caller who has tried
// before, what is not known is whether an earlier try ran elsewhere.
func (k *KeyRegistry) giveUp(r *record, reason string, after clock.Millis) {
	k.forgetClaim(r)
	r.phase = idle
	r.held = false
	r.find = nil
	r.endedAt = k.now
	r.reply = Reply{Outcome: NotRun, Reason: reason, RetryAfter: spread(r.name.key, after)}
	if r.retry {
		r.reply.Outcome = OutcomeUnknown
	}
}

// expireClaims gives up the claims whose deadline has passed. Of one that was
// passed on, this host knows nothing more.
func (k *KeyRegistry) expireClaims() {
	var due []*record
	for _, r := range k.claims {
		if k.now >= r.deadline {
			due = append(due, r)
		}
	}
	for _, r := range due {
		if r.phase == passing {
			k.drop(r)
			continue
		}
		k.giveUp(r, ReasonDeadline, retryAfterExpiry)
	}
}

func (k *KeyRegistry) forgetClaim(r *record) {
	for i := range k.claims {
		if k.claims[i] == r {
			k.claims = append(k.claims[:i], k.claims[i+1:]...)
			return
		}
	}
}

func (k *KeyRegistry) rowValue(r *record) string {
	b, _ := json.Marshal(claimRow{
		Host:         k.Host,
		Incarnation:  k.Incarnation,
		Attempt:      r.attempt,
		Organisation: r.name.organisation,
	})
	return string(b)
}
