package fleetsim

import (
	"encoding/json"
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	"siskinpath/core/clock"
	"siskinpath/core/membership"
)

// BenchmarkCost measures the cost of membership per host in a fleet without
// faults, with the table of the size to design for: bytes and messages sent, the
// age of the state that hosts have of each other, the size of the row, the memory
// of a view, and processor time (including that of the simulation).
func BenchmarkCost(b *testing.B) {
	for _, hosts := range []int{5, 22, 44, 100} {
		b.Run(fmt.Sprintf("%d_hosts", hosts), func(b *testing.B) {
			const warm, span = 20 * clock.Second, 20 * clock.Second
			zones := []string{"z1", "z2", "z3", "z4", "z5", "z6"}
			t := LargeTable(zones)
			t.Version = 700
			f := New(Config{Seed: 1, Hosts: hosts, Zones: zones, Table: t, ConfigureView: func(v *membership.View) { v.SetKeyWindow(1000) }})
			f.Run(warm)
			before := f.sent()
			var ages []clock.Millis
			var spent time.Duration
			for b.Loop() {
				start := processTime(b)
				before, ages = f.sent(), ages[:0]
				for until := f.Now + span; f.Now < until; {
					f.Run(f.Now + clock.Second)
					ages = append(ages, f.ages()...)
				}
				spent = processTime(b) - start
			}
			hostSeconds := float64(hosts) * float64(span/clock.Second)
			sent := f.sent()
			slices.Sort(ages)
			row, _ := json.Marshal(f.Platform.Row)
			b.ReportMetric(float64(sent.bytes-before.bytes)/hostSeconds, "bytes_sent/s")
			b.ReportMetric(float64(sent.messages-before.messages)/hostSeconds, "messages_sent/s")
			b.ReportMetric(float64(ages[len(ages)/2]), "age_ms_p50")
			b.ReportMetric(float64(ages[len(ages)*999/1000]), "age_ms_p999")
			b.ReportMetric(float64(ages[len(ages)-1]), "age_ms_max")
			b.ReportMetric(float64(len(row)), "row_bytes")
			b.ReportMetric(viewBytes(f, row), "view_bytes")
			b.ReportMetric(spent.Seconds()/hostSeconds*100, "core_%")
		})
	}
}

// viewBytes returns the memory of one view: its share of the memory of all views,
// plus a copy of the row, because the simulated views share one copy.
func viewBytes(f *Fleet, row []byte) float64 {
	const copies = 50
	before := heapBytes()
	rows := make([]membership.Assignment, copies)
	for i := range rows {
		_ = json.Unmarshal(row, &rows[i])
	}
	rowBytes := float64(heapBytes()-before) / copies
	runtime.KeepAlive(rows)
	with := heapBytes()
	for _, h := range f.Hosts {
		h.View = nil
	}
	f.queue = nil
	f.Checker.inFlight = nil
	return float64(with-heapBytes())/float64(len(f.Hosts)) + rowBytes
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// processTime returns the processor time that this process has used.
func processTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// sentSoFar is the total that all hosts have sent.
type sentSoFar struct{ bytes, messages int }

func (f *Fleet) sent() sentSoFar {
	var s sentSoFar
	for _, h := range f.Hosts {
		s.bytes += h.SentBytes
		s.messages += h.SentMessages
	}
	return s
}

// ages returns, for each pair of hosts, the age of the state that one has of the
// other.
func (f *Fleet) ages() []clock.Millis {
	var ages []clock.Millis
	for _, h := range f.Hosts {
		for _, s := range h.View.Status(h.Time()) {
			if s.ID != h.ID {
				ages = append(ages, s.LastSeenAge)
			}
		}
	}
	return ages
}
