package idempotency

import (
	"fmt"
	"strconv"
	"strings"
)

// A key's prefix consists of the incarnation in hexadecimal, a hyphen, the window
// in hexadecimal without leading zeros, and a hyphen.
const (
	incarnationDigits = 16
	maxWindowDigits   = 8
)

func prefix(inc uint64, window uint32) string {
	return fmt.Sprintf("%016x-%x-", inc, window)
}

// ParsePrefix parses the prefix of a key. It returns the incarnation that alone
// may run the key, and the window in which the prefix was issued, or false when
// the key has no prefix. The result depends on the key's bytes only, so that every
// host agrees on it.
func ParsePrefix(key string) (inc uint64, window uint32, ok bool) {
	if len(key) <= incarnationDigits || key[incarnationDigits] != '-' {
		return 0, 0, false
	}
	head, rest := key[:incarnationDigits], key[incarnationDigits+1:]
	digits, _, found := strings.Cut(rest, "-")
	if !found || len(digits) > maxWindowDigits {
		return 0, 0, false
	}
	inc, err := strconv.ParseUint(head, 16, 64)
	if err != nil {
		return 0, 0, false
	}
	w, err := strconv.ParseUint(digits, 16, 32)
	if err != nil {
		return 0, 0, false
	}
	// Only the canonical spelling is a prefix, so that a window has one prefix.
	// Other spellings make ordinary keys.
	if !strings.HasPrefix(key, prefix(inc, uint32(w))) {
		return 0, 0, false
	}
	return inc, uint32(w), true
}

// validKey reports whether key consists of 1 to MaxKeyBytes printable ASCII bytes
// without spaces, and of more than a prefix.
func validKey(key string) bool {
	if key == "" || len(key) > MaxKeyBytes {
		return false
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return false
		}
	}
	inc, window, ok := ParsePrefix(key)
	return !ok || len(key) > len(prefix(inc, window))
}
