package peer

import (
	"context"
	"testing"

	"siskinpath/siskinpathd/peer/peerpb"
)

// BenchmarkCall measures one call between two hosts, with a body of 1 kB each way.
func BenchmarkCall(b *testing.B) {
	x, y := pair()
	defer x.shutDown()
	defer y.shutDown()
	y.transport.OnCall = func(_ context.Context, _ string, req *peerpb.CallRequest) *peerpb.CallReply {
		return &peerpb.CallReply{Outcome: peerpb.Outcome_OUTCOME_ANSWERED, Status: 200, Body: req.GetBody()}
	}
	req := &peerpb.CallRequest{DeadlineMs: 60000, Service: "booking", Method: "GET", Uri: "/x", Body: make([]byte, 1000)}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := x.transport.Call(context.Background(), "b", req); err != nil {
			b.Fatal(err)
		}
	}
}
