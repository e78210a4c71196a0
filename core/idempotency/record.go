package idempotency

import "siskinpath/core/clock"

// phase is the state of a record.
type phase int

const (
	claimWanted     phase = iota // the claim's write is pending
	claimWriting                 // the claim's write is in flight
	claimReadWanted              // the write's reply was lost; reading the row back is pending
	claimReading                 // the read is in flight
	forwarding                   // another host holds the claim; the request is forwarded to it
	running                      // this host may send the request
	ended                        // the outcome is recorded
	idle                         // claims only: the request was not sent and may be run later
)

// scopedKey is an idempotency key within its service and organisation. Equal keys
// of two organisations are distinct.
type scopedKey struct {
	service      string
	organisation string
	key          string
}

// record is the state of one run of a key on this host.
type record struct {
	id          RecordID
	key         scopedKey
	fingerprint uint64
	deadline    clock.Millis
	phase       phase
	sent        bool // a byte may have reached an upstream
	reply       Reply
	endedAt     clock.Millis
	bytes       int

	// The fields below are used for keys without a prefix.
	claimed            bool
	retry              bool   // the caller has tried before, and that try may have run on another host
	attempt            uint64 // number of the attempt, as written into the claim's row
	firstUnsentAttempt uint64 // this attempt and all later ones are known not to have been sent
	holdsClaim         bool   // the row names this host and attempt, and no other host was told that the claim is given up
	expectVersion      uint64 // row version that the write requires
	lookup             HostLookup
	host               string // while forwarding: the id of the claimant
	claimRow           string // while forwarding: the value of the row that names it
}

// open reports whether the record waits for a claim's write or read.
func (r *record) open() bool { return r.phase <= claimReading }

// settled reports whether the record may be dropped after the retention.
func (r *record) settled() bool { return r.phase == ended || r.phase == idle }

// Estimated memory overhead, in bytes.
const (
	recordBytes = 400 // a record without its strings, including its map and list entries
	headerBytes = 32  // a header without its strings
)

func replyBytes(reply Reply) int {
	n := len(reply.Body) + len(reply.Reason)
	for _, h := range reply.Header {
		n += headerBytes + len(h[0]) + len(h[1])
	}
	return n
}

func (k scopedKey) bytes() int {
	return recordBytes + len(k.service) + len(k.organisation) + len(k.key)
}
