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

// Hash is the fingerprint of a part of a request. It is the same on all hosts.
type Hash [16]byte

// hashOf returns the fingerprint of a list of fields.
func hashOf(fields ...[]byte) (h Hash) {
	sum := sha256.New()
	var size [8]byte
	for _, field := range fields {
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		sum.Write(size[:])
		sum.Write(field)
	}
	copy(h[:], sum.Sum(nil))
	return h
}

// String returns the fingerprint in hexadecimal digits.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText returns the fingerprint in hexadecimal digits, for logs and state dumps.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// Content identifies the content of a request by fingerprints of its parts.
type Content struct {
	Work   Hash `json:"work"`   // method, host, path and body
	Query  Hash `json:"query"`  // of the URI
	Caller Hash `json:"caller"` // address of the caller without a port
}

// Of returns the content of a request.
func Of(caller, method, host, path, query string, body []byte) Content {
	return Content{
		Work:   hashOf([]byte(method), []byte(host), []byte(path), body),
		Query:  hashOf([]byte(query)),
		Caller: hashOf([]byte(caller)),
	}
}

// Scope says which requests of the same work are taken for the same.
type Scope string

// Scopes, the narrowest first.
const (
	OneRequest Scope = "request"    // of one caller, with one query
	AnyCaller  Scope = "any_caller" // of any caller, with one query
	AnyQuery   Scope = "any_query"  // of one caller, with any query
	AnyRequest Scope = "any"
)

var scopes = []Scope{OneRequest, AnyCaller, AnyQuery, AnyRequest}

func (s Scope) anyCaller() bool { return s == AnyCaller || s == AnyRequest }
func (s Scope) anyQuery() bool  { return s == AnyQuery || s == AnyRequest }

// same reports whether two requests of the same work are taken for the same.
func (s Scope) same(a, b Content) bool {
	return (s.anyCaller() || a.Caller == b.Caller) && (s.anyQuery() || a.Query == b.Query)
}
