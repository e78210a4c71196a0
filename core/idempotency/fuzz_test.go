package idempotency

import (
	"strings"
	"testing"
)

// FuzzOwner checks that a key has an owner exactly when it begins with the one
// spelling of that owner's prefix.
func FuzzOwner(f *testing.F) {
	for _, key := range []string{
		"", "-", prefix(testIncarnation, 42) + "k", prefix(0, 0), prefix(1, 1<<32-1) + "-", "8f00c2d1a3b4e5f6-02a-k", "8F00c2d1a3b4e5f6-2a-k",
		"8f00c2d1a3b4e5f6-123456789-k", "-000000000000001-1-k", "8f00c2d1a3b4e5f6-+1-k", "8f00c2d1a3b4e5f6-1_0-k",
	} {
		f.Add(key)
	}
	f.Fuzz(func(t *testing.T, key string) {
		inc, window, ok := ParsePrefix(key)
		p := prefix(inc, window)
		if starts := strings.HasPrefix(key, p); starts != ok {
			t.Fatalf("%q: %d %d %v", key, inc, window, ok)
		}
		if validKey(key) && ok && len(key) == len(p) {
			t.Fatalf("%q is only a prefix", key)
		}
	})
}

// FuzzClaimRow checks that any value of a claim's row leaves the keeper with a
// decision, and never with leave to send what another one claimed.
func FuzzClaimRow(f *testing.F) {
	for _, value := range []string{"", "{", "null", foreignRow(5, 1), foreignRow(testIncarnation, 9), `{"incarnation":-1}`, `{"incarnation":1e99}`} {
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value string) {
		k := newKeeper()
		d := k.Begin(0, requestFor("key"), nobody)
		w := k.NextClaimWrites(0)[0]
		k.HandleClaimOutcome(0, d.Record, ClaimOutcome{Kind: ClaimTaken, Value: value, Version: 7})
		row, err := decodeClaim(value)
		ours := err == nil && row.Incarnation == testIncarnation && row.Attempt == 1
		if k.MaySend(0, d.Record) && !ours {
			t.Fatalf("may send after %q; its own is %q", value, w.Value)
		}
	})
}
