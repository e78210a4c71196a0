package idempotency

import (
	"strings"
	"testing"
)

// FuzzParsePrefix checks that a prefix is found exactly when the key begins with
// the canonical spelling of that prefix.
func FuzzParsePrefix(f *testing.F) {
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
			t.Fatalf("key %q: parsed incarnation %d, window %d, ok %v; starts with that prefix: %v", key, inc, window, ok, starts)
		}
		if validKey(key) && ok && len(key) == len(p) {
			t.Fatalf("%q is valid but consists of a prefix only", key)
		}
	})
}

// FuzzClaimRow checks that no value of a claim's row makes the registry panic or
// lets it send a request whose claim belongs to another attempt.
func FuzzClaimRow(f *testing.F) {
	for _, value := range []string{"", "{", "null", foreignRow(5, 1), foreignRow(testIncarnation, 9), `{"incarnation":-1}`, `{"incarnation":1e99}`} {
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value string) {
		k := newRegistry()
		d := k.Begin(0, requestFor("key"), noHost)
		w := k.NextClaimWrites(0)[0]
		k.HandleClaimOutcome(0, d.Record, ClaimOutcome{Kind: ClaimTaken, Value: value, Version: 7})
		row, err := decodeClaim(value)
		ours := err == nil && row.Incarnation == testIncarnation && row.Attempt == 1
		if k.MaySend(0, d.Record) && !ours {
			t.Fatalf("may send after reading %q; the row of its own claim is %q", value, w.Value)
		}
	})
}
