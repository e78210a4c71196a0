package idempotency

import "siskinpath/core/clock"

// phase is where a record stands.
type phase int

const (
	claimWanted  phase = iota // a claim is to be written
	claimWriting              // its write is under way
	claimReading              // the write's reply was lost: the row is to be read back
	claimReadOut              // the read is under way
	passing                   // another host holds the claim and is asked
	running                   // may be sent from here
	ended                     // its outcome is recorded
	idle                      // claims only: never sent; may be run again
)

// name identifies a key. The same key of another organisation is another key.
type name struct {
	service      string
	organisation string
	key          string
}

// record is what a host knows of one key.
type record struct {
	id          RecordID
	name        name
	fingerprint uint64
	deadline    clock.Millis
	phase       phase
	sent        bool // a byte may have reached an upstream
	reply       Reply
	endedAt     clock.Millis
	bytes       int

	// For keys without a prefix.
	claimed       bool
	retry         bool   // an earlier try, of which nothing is known here, may have run elsewhere
	attempt       uint64 // number in the row that this host writes
	unsentSince   uint64 // every attempt from this one on is known never to have been sent
	held          bool   // the row names this host and attempt, and nobody was told otherwise
	expectVersion uint64 // version the row must have for the write
	find          HostLookup
	host          string // for passing: the claimant
	claimRow      string // for passing: the row that names it
}

// open reports whether the record waits for the platform.
func (r *record) open() bool { return r.phase <= claimReadOut }

// settled reports whether the record may be dropped once it is old enough.
func (r *record) settled() bool { return r.phase == ended || r.phase == idle }

// Sizes counted for a record, in bytes.
const (
	recordBytes = 400 // a record without its strings, with its places in maps and lists
	headerBytes = 32  // a header without its strings
)

func replyBytes(reply Reply) int {
	n := len(reply.Body) + len(reply.Reason)
	for _, h := range reply.Header {
		n += headerBytes + len(h[0]) + len(h[1])
	}
	return n
}

func (n name) bytes() int {
	return recordBytes + len(n.service) + len(n.organisation) + len(n.key)
}
