// Package quarantine recognises requests that crash the upstreams that run them. Callers
// repeat such a request under new ids at any host, so hosts recognise it by its content,
// and tell each other which upstreams ended while they ran it. It uses no goroutine,
// socket or wall clock.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint identifies the content of a request. It is the same on all hosts.
type Fingerprint [16]byte

// Of returns the fingerprint of a request with these fields. caller is the address that
// the request came from, without a port.
func Of(caller, method, host, uri string, body []byte) (f Fingerprint) {
	h := sha256.New()
	var size [8]byte
	for _, field := range [][]byte{[]byte(caller), []byte(method), []byte(host), []byte(uri), body} {
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		h.Write(size[:])
		h.Write(field)
	}
	copy(f[:], h.Sum(nil))
	return f
}

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText returns the fingerprint in hexadecimal digits, for logs and state dumps.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }
