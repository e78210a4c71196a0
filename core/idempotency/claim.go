package idempotency

import (
	"encoding/json"

	"github.com/pkg/errors"

	"siskinpath/core/clock"
)

// MaxClaims is the largest number of claims in one transaction.
const MaxClaims = 128

// ClaimWrite is a compare-and-set write of a claim's row: it applies only while
// the row's version is ExpectVersion.
type ClaimWrite struct {
	Record        RecordID
	RowKey        string
	Value         string
	ExpectVersion uint64 // 0: the row must be absent
}

// ClaimRead is a row to read back because the reply to its write was lost.
type ClaimRead struct {
	Record RecordID
	RowKey string
}

// ClaimOutcomeKind is the kind of a ClaimOutcome.
type ClaimOutcomeKind int

// Kinds of ClaimOutcome.
const (
	ClaimCommitted    ClaimOutcomeKind = iota // the write was applied
	ClaimTaken                                // the row exists with another version; Value and Version are its contents
	ClaimAbsent                               // the read found no row
	ClaimReplyLost                            // the write's reply was lost; it may have been applied or may still be
	ClaimPlatformDown                         // the platform is unreachable
	ClaimRetry                                // not applied because another row of the transaction had a version conflict
)

// ClaimOutcome is the result of writing or reading a claim's row.
type ClaimOutcome struct {
	Kind    ClaimOutcomeKind
	Value   string // for ClaimTaken
	Version uint64 // for ClaimTaken; for ClaimCommitted the new version, or 0
}

// claimRow is the JSON value of a claim's row.
type claimRow struct {
	Host         string `json:"host"`
	Incarnation  uint64 `json:"incarnation"`
	Attempt      uint64 `json:"attempt"`
	Organisation string `json:"organisation"`
}

// decodeClaim parses and validates the value of a claim's row.
func decodeClaim(value string) (row claimRow, err error) {
	if err := json.Unmarshal([]byte(value), &row); err != nil {
		return claimRow{}, errors.WithMessage(err, "decode claim row")
	}
	if row.Incarnation == 0 {
		return claimRow{}, errors.New("decode claim row: incarnation is missing")
	}
	return row, nil
}

// RowKey returns the row key of a claim. Names of services and organisations
// contain no slash, so two idempotency keys never share a row.
func RowKey(service, organisation, key string) string {
	return "claim/" + service + "/" + organisation + "/" + key
}

// beginClaim decides on a caller's request whose key has no prefix. It opens a
// claim unless the key is already known.
func (k *KeyRegistry) beginClaim(req Request, lookup HostLookup) Decision {
	r := k.byKey[scopedKeyOf(req)]
	if r != nil && r.phase != idle {
		return k.decideKnown(r, req)
	}
	if left := k.guardedUntil - k.now; left > 0 {
		return refuseNew(req, ReasonStoreRestored, left)
	}
	firstUnsentAttempt := uint64(0)
	if r != nil {
		if k.now >= req.Deadline {
			return refuseNew(req, ReasonDeadline, retryAfterExpiry)
		}
		firstUnsentAttempt = r.firstUnsentAttempt
		k.drop(r)
	} else if d, ok := k.checkCapacity(req); !ok {
		return d
	}
	next := k.add(req)
	next.claimed = true
	next.retry = req.Retry
	next.lookup = lookup
	if r != nil && r.holdsClaim {
		next.attempt, next.firstUnsentAttempt = r.attempt, firstUnsentAttempt
		next.holdsClaim = true
		next.phase = running
		return Decision{Verdict: Run, Record: next.id}
	}
	k.attempts++
	next.attempt = k.attempts
	next.firstUnsentAttempt = next.attempt
	if r != nil {
		next.firstUnsentAttempt = firstUnsentAttempt
	}
	next.phase = claimWanted
	k.claims = append(k.claims, next)
	return Decision{Verdict: Claim, Record: next.id}
}

// StoreRestored records that the platform has come back from an older copy of its rows,
// which may lack claims that were committed. Claims that are not decided yet are given
// up, and no key is claimed for restoreGuard: another host may have run it. Keys that
// are on record here, and those with a prefix, are decided as before.
func (k *KeyRegistry) StoreRestored(now clock.Millis) {
	k.advance(now)
	k.guardedUntil = k.now + restoreGuard
	for len(k.claims) > 0 {
		k.giveUp(k.claims[0], ReasonStoreRestored, restoreGuard)
	}
}

// decideClaimedHere decides on a request forwarded by a host that found this
// host's claim in the row.
func (k *KeyRegistry) decideClaimedHere(req Request) Decision {
	r := k.byKey[scopedKeyOf(req)]
	if r == nil {
		return unknown(ReasonClaimForgotten)
	}
	if r.phase == forwarding {
		// Another host has taken the claim since the asking host read the row.
		// Waiting for it here could make two hosts wait for each other.
		return unknown(ReasonClaimMoved)
	}
	if r.phase != idle {
		return k.decideKnown(r, req)
	}
	// The row may name an earlier process of this host, or an attempt whose
	// record has been dropped. Whether those were sent is not known.
	row, err := decodeClaim(req.ClaimRow)
	if err != nil || row.Incarnation != k.Incarnation || row.Attempt < r.firstUnsentAttempt {
		return unknown(ReasonClaimForgotten)
	}
	r.holdsClaim = false
	k.counts.ClaimsGivenUp++
	d := refuse(r.reply.Reason, r.reply.RetryAfter)
	d.GivenUp = true
	return d
}

// NextClaimWrites returns the pending claim writes, at most MaxClaims, to be
// carried out in one transaction. The caller passes the outcome of each to
// HandleClaimOutcome.
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

// NextClaimReads returns the rows to read back, at most MaxClaims. The caller
// passes the outcome of each to HandleClaimOutcome: ClaimTaken with the row's
// contents, ClaimAbsent or ClaimPlatformDown.
func (k *KeyRegistry) NextClaimReads(now clock.Millis) []ClaimRead {
	var reads []ClaimRead
	for _, r := range k.advanceClaims(now, claimReadWanted, claimReading) {
		reads = append(reads, ClaimRead{Record: r.id, RowKey: r.rowKey()})
	}
	k.counts.ClaimReads += len(reads)
	return reads
}

// advanceClaims moves up to MaxClaims open claims from one phase to the next and
// returns them.
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

func (r *record) rowKey() string { return RowKey(r.key.service, r.key.organisation, r.key.key) }

// HandleClaimOutcome applies the result of a claim's write or read. A result for
// a claim that has been given up is ignored.
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
		k.claimGranted(r)
	case ClaimTaken:
		k.rowTaken(r, out)
	case ClaimAbsent:
		k.rowAbsent(r)
	case ClaimRetry:
		r.phase = claimWanted
	case ClaimReplyLost:
		k.counts.ClaimsLost++
		r.phase = claimReadWanted
	case ClaimPlatformDown:
		k.giveUp(r, ReasonPlatformDown, retryWhenDown)
	}
}

// rowAbsent handles a read that found no row. The write whose reply was lost may
// still be applied, so the identical write is retried.
func (k *KeyRegistry) rowAbsent(r *record) {
	if r.expectVersion != 0 {
		k.recordUnknown(r, ReasonClaimForgotten)
		return
	}
	r.phase = claimWanted
}

// claimGranted lets a record run because the row names this host and attempt.
func (k *KeyRegistry) claimGranted(r *record) {
	r.holdsClaim = true
	r.phase = running
	k.removeOpenClaim(r)
}

// rowTaken handles the row of another version that a write met, or the row that
// was read back after the reply to a write was lost.
func (k *KeyRegistry) rowTaken(r *record, out ClaimOutcome) {
	row, err := decodeClaim(out.Value)
	if err != nil {
		k.counts.ClaimsUnreadable++
		k.recordUnknown(r, ReasonClaimUnreadable)
		return
	}
	if row.Incarnation != k.Incarnation {
		k.forwardToClaimant(r, row.Incarnation, out)
		return
	}
	switch {
	case row.Attempt == r.attempt:
		k.claimGranted(r)
	case row.Attempt >= r.firstUnsentAttempt:
		// The row names an earlier attempt of this process that was given up
		// without sending a byte, so this attempt may replace it.
		r.expectVersion = out.Version
		r.phase = claimWanted
	default:
		k.recordUnknown(r, ReasonClaimForgotten)
	}
}

// forwardToClaimant has the request forwarded to the host that holds the claim.
// The outcome is unknown when that host can't be reached.
func (k *KeyRegistry) forwardToClaimant(r *record, inc uint64, out ClaimOutcome) {
	host, status := r.lookup(inc)
	if status != Reachable {
		k.recordUnknown(r, unavailableReason(status))
		return
	}
	r.host, r.claimRow = host, out.Value
	r.expectVersion = out.Version
	r.phase = forwarding // stays in k.claims, so that expireClaims ends it at its deadline
}

// recordUnknown ends a claim whose outcome can't be determined.
func (k *KeyRegistry) recordUnknown(r *record, reason string) {
	k.removeOpenClaim(r)
	k.record(r, Reply{Outcome: OutcomeUnknown, Reason: reason})
	if reason == ReasonHostUnreachable || reason == ReasonHostNeverHeard {
		// A later retry may reach the claimant, so the unknown outcome applies to
		// this request only, not to the key.
		delete(k.byKey, r.key)
	}
}

// TakeOver handles the claimant's reply that it never sent the request of rec and
// never will. The claim is written again, provided that the row still has the
// version that was found.
func (k *KeyRegistry) TakeOver(now clock.Millis, rec RecordID) {
	k.advance(now)
	r := k.byID[rec]
	if r == nil || r.phase != forwarding {
		return
	}
	k.counts.TakeOvers++
	r.phase = claimWanted
}

// ClaimDecision returns the decision on a claim: Run, Forward (to the claimant),
// Unknown, Refuse or Answer. It returns false while the claim is open.
func (k *KeyRegistry) ClaimDecision(rec RecordID) (d Decision, ok bool) {
	r := k.byID[rec]
	switch {
	case r == nil:
		return unknown(ReasonClaimForgotten), true
	case r.phase == running:
		return Decision{Verdict: Run, Record: rec}, true
	case r.phase == forwarding:
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

// giveUp ends a claim for which nothing was sent. This host never sends for that
// attempt; a later request for the key gets a new attempt. A caller that has
// tried before gets an unknown outcome, because an earlier try may have run on
// another host.
func (k *KeyRegistry) giveUp(r *record, reason string, after clock.Millis) {
	k.removeOpenClaim(r)
	r.phase = idle
	r.holdsClaim = false
	r.lookup = nil
	r.endedAt = k.now
	r.reply = Reply{Outcome: NotRun, Reason: reason, RetryAfter: jitter(r.key.key, after)}
	if r.retry {
		r.reply.Outcome = OutcomeUnknown
	}
}

// expireClaims gives up the claims whose deadline has passed. The record of a
// forwarded request is dropped, since this host doesn't know its outcome.
func (k *KeyRegistry) expireClaims() {
	var due []*record
	for _, r := range k.claims {
		if k.now >= r.deadline {
			due = append(due, r)
		}
	}
	for _, r := range due {
		if r.phase == forwarding {
			k.drop(r)
			continue
		}
		k.giveUp(r, ReasonDeadline, retryAfterExpiry)
	}
}

// removeOpenClaim removes a record from the list of open claims.
func (k *KeyRegistry) removeOpenClaim(r *record) {
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
		Organisation: r.key.organisation,
	})
	return string(b)
}
