package fleetsim

import (
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"siskinpath/core/clock"
)

// TestSession compares the trace of a session of five hosts with its golden file.
// After the start, a host joins, one is killed, one is killed while the platform
// is down, one freezes, is replaced and wakes, and one leaves.
func TestSession(t *testing.T) {
	var lines []string
	f := New(Config{
		Seed: 1, Hosts: 5, Start: map[int]clock.Millis{4: 8 * clock.Second},
		Trace: func(line string) { lines = append(lines, line) },
	})
	const s = clock.Second
	f.Schedule([]Fault{
		{At: 20 * s, For: 15 * s, Kind: Kill, Host: 1},
		{At: 50 * s, For: 20 * s, Kind: Outage},
		{At: 55 * s, For: 10 * s, Kind: Kill, Host: 3},
		{At: 85 * s, For: 20 * s, Kind: Freeze, Host: 2},
		{At: 120 * s, For: 10 * s, Kind: Leaving, Host: 0},
	})
	f.Run(150 * s)
	if f.Checker.Violation != "" {
		t.Error(f.Checker.Violation)
	}
	if !f.Served() {
		t.Error("an upstream has no holder of the full right at the end")
	}
	goldie.New(t).Assert(t, "session", []byte(strings.Join(lines, "\n")+"\n"))
}
