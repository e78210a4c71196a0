package idempotency

import (
	"runtime"
	"strconv"
	"testing"

	"siskinpath/core/clock"
)

// BenchmarkOwnKey measures one key with this host's prefix, from Begin to End,
// while the registry holds a steady ten minutes of keys.
func BenchmarkOwnKey(b *testing.B) {
	k := newRegistry()
	now := clock.Hour
	reply := Reply{Status: 200, Body: make([]byte, 100)}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%150 == 0 {
			now += clock.Second
			k.Tick(now)
		}
		req := Request{
			Service: "payments", Organisation: "farm", Key: k.Prefix(now) + strconv.Itoa(i), Fingerprint: 7, Deadline: now + clock.Second,
		}
		d := k.Begin(now, req, noHost)
		if d.Verdict != Run || !k.MaySend(now, d.Record) {
			b.Fatalf("verdict %d %s", d.Verdict, d.Reply.Reason)
		}
		k.End(now, d.Record, reply)
	}
}

// BenchmarkRecordMemory measures the heap memory of a record with a body of 100
// bytes.
func BenchmarkRecordMemory(b *testing.B) {
	const records = 100_000
	for b.Loop() {
		k := newRegistry()
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range records {
			d := k.Begin(0, requestFor(k.Prefix(0)+strconv.Itoa(i)), noHost)
			k.MaySend(0, d.Record)
			k.End(0, d.Record, Reply{Status: 200, Body: make([]byte, 100)})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/records, "bytes/record")
		b.ReportMetric(float64(k.State().RecordBytes)/records, "counted-bytes/record")
		runtime.KeepAlive(k)
	}
}
