// Package payload makes the bodies that stand-in upstreams send, and checks them
// on the callers' side. A body follows from the organisation, the marker of the
// request and its length alone, so that somebody else's answer or a part of an
// answer is recognised.
package payload

import (
	"bytes"
	"hash/fnv"
	"math/rand/v2"
	"strconv"
)

// Limits of a body's length in bytes. A shorter length is raised to the header's.
const (
	DefaultBytes = 512
	MaxBytes     = 1 << 20
)

// Body returns the body for the request marked marker of organisation: a header
// line that names both and the length, then bytes drawn from them.
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

// Verdict is what a body turned out to be.
type Verdict int

// Verdicts.
const (
	Intact            Verdict = iota // the answer to this request, whole
	WrongOrganisation                // the answer to another request or organisation
	Truncated                        // the beginning of the right answer
	Corrupt                          // the right header and other bytes
)

// Verify compares body with the one expected.
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
