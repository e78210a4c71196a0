package caller

import (
	"bufio"
	"bytes"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"

	"siskinpath/core/idempotency"
)

func TestSplitTarget(t *testing.T) {
	Convey("a URI is split into the service and the path and query for the upstream", t, func() {
		for uri, want := range map[string][2]string{
			"/v1/call/booking":             {"booking", "/"},
			"/v1/call/booking/":            {"booking", "/"},
			"/v1/call/booking?day=2":       {"booking", "/?day=2"},
			"/v1/call/booking/slots?x=a/b": {"booking", "/slots?x=a/b"},
		} {
			service, target := splitTarget(uri)
			So([2]string{service, target}, ShouldResemble, want)
		}
	})
}

// FuzzDecode decodes raw HTTP requests as the listener does.
func FuzzDecode(f *testing.F) {
	f.Add([]byte("GET /v1/call/booking/x HTTP/1.1\r\nHost: h\r\nSiskin-Deadline-Ms: 5\r\nSiskin-Organisation: o\r\n\r\n"))
	f.Add([]byte("POST /v1/call/?/ HTTP/1.1\r\nHost: h\r\nSiskin-Deadline-Ms: 1\r\nSiskin-Organisation: o\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\nab"))
	f.Add([]byte("PUT /v1/call/a%00b HTTP/1.0\r\nSiskin-Depth: 28\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		var ctx fasthttp.RequestCtx
		if ctx.Request.ReadLimitBody(bufio.NewReader(bytes.NewReader(b)), 1024) != nil {
			return
		}
		c, err := decode(&ctx, 1000)
		if err != nil {
			return
		}
		switch {
		case c.Deadline <= 1000, c.Depth < 0, c.Depth > maxDepth:
			t.Fatalf("deadline %d, depth %d", c.Deadline, c.Depth)
		case c.Organisation == "" || len(c.Organisation) > maxOrganisationBytes || len(c.Key) > idempotency.MaxKeyBytes:
			t.Fatalf("organisation %q, key %q", c.Organisation, c.Key)
		case c.Key != "" && c.Idempotent:
			t.Fatal("request with a key decoded as idempotent")
		case !strings.HasPrefix(c.URI, "/"):
			t.Fatalf("target %q", c.URI)
		}
	})
}
