package table

import (
	"fmt"
	"testing"
)

// fullSizeTable returns a table of the size planned for: 14 services and 450
// upstreams.
func fullSizeTable() *Table {
	t := &Table{}
	for s := range 14 {
		service := Service{Name: fmt.Sprintf("service-%02d", s), MaxDeadline: DefaultMaxDeadlineMs}
		for u := s; u < 450; u += 14 {
			service.Upstreams = append(service.Upstreams, Upstream{
				Service: service.Name, Name: fmt.Sprintf("%s-%03d", service.Name, u), Address: fmt.Sprintf("10.0.%d.%d:8080", u/250, u%250),
				AvailabilityZone: "gh-mid-a", Weight: 100, Slots: 4, Connections: 300, State: Active,
			})
		}
		t.Services = append(t.Services, service)
	}
	return t
}

// BenchmarkFollow measures how long a host takes to decode and apply a new version
// of the size planned for.
func BenchmarkFollow(b *testing.B) {
	value := EncodeRow(RowValue{EditID: "e", Author: "ama", CSV: string(Format(fullSizeTable()))})
	b.ReportAllocs()
	for b.Loop() {
		var f Follower
		if err := f.PlatformRead(0, 1, value, true); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(value)), "bytes/value")
}
