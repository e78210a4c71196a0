// Package payload generates the response bodies of stand-in upstreams and verifies
// them for the callers. A body is a function of the organisation, the request's
// marker and the length, so that a caller detects a truncated answer and one that
// belongs to another request or organisation.
package payload

import (
	"bytes"
	"hash/fnv"
	"math/rand/v2"
	"strconv"
)

// Default and maximum length of a body in bytes. A body is never shorter than its
// header line.
const (
	DefaultBytes = 512
	MaxBytes     = 1 << 20
)

// Body returns the body for the request of organisation with the given marker: a
// header line with both and the length, then letters from a pseudo-random
// generator seeded with the three.
func Body(organisation, marker string, size int) []byte {
	size = min(size, MaxBytes)
	b := header(organisation, marker, size)
	r := rand.New(rand.NewPCG(seed(organisation, marker), uint64(size)))
	for len(b) < size {
		b = append(b, 'a'+byte(r.Uint32()%26))
	}
	return b
}

func header(organisation, marker string, size int) []byte {
	b := make([]byte, 0, max(size, 128))
	b = append(b, organisation...)
	b = append(b, ' ')
	b = append(b, marker...)
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(size), 10)
	return append(b, '\n')
}

func seed(organisation, marker string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(organisation))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(marker))
	return h.Sum64()
}

// Verdict is the result of Verify.
type Verdict int

// Results of Verify.
const (
	Intact            Verdict = iota // the complete answer to this request
	WrongOrganisation                // the answer to another request, or to another organisation
	Truncated                        // a prefix of the right answer
	Corrupt                          // the right header followed by wrong bytes
)

// Verify compares body with the one that Body returns.
func Verify(body []byte, organisation, marker string, size int) Verdict {
	want := Body(organisation, marker, size)
	if bytes.Equal(body, want) {
		return Intact
	}
	if len(body) < len(want) && bytes.HasPrefix(want, body) {
		return Truncated
	}
	if bytes.HasPrefix(body, header(organisation, marker, size)) {
		return Corrupt
	}
	return WrongOrganisation
}
