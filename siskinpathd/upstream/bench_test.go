package upstream

import (
	"context"
	"net"
	"testing"

	"github.com/valyala/fasthttp"

	"siskinpath/core/clock"
	"siskinpath/core/route"
	"siskinpath/siskinpathd/call"
)

// BenchmarkAttempt measures a request over an open connection to a loopback upstream
// that replies immediately.
func BenchmarkAttempt(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer ln.Close()
	f := &fakeUpstream{ln: ln, serve: func(c net.Conn, req *fasthttp.Request) bool { return respond(c, requestID(req), "", "free") }}
	go f.accept()
	p := f.pool()
	b.ReportAllocs()
	for b.Loop() {
		a := &Attempt{
			Call:         &call.Call{Method: "GET", URI: "/slots", Organisation: "ring-7", Deadline: p.Clock.Now() + clock.Second},
			RequestID:    "a",
			Clock:        p.Clock,
			MaxBodyBytes: 1024,
			MaySend:      func() bool { return true },
		}
		if _, result, err := p.Do(context.Background(), a); result.Status != route.Succeeded {
			b.Fatal(err)
		}
	}
}
