package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"

	"siskinpath/core/route"
)

// TestBytesThatAreNoReply guards against a status 000 passed on as 200, a 101 passed on as a final
// reply, and fields whose names hold a blank or a control byte.
func TestBytesThatAreNoReply(t *testing.T) {
	const length = "Content-Length: 0\r\n"
	for name, format := range map[string]string{ // %s is a field with the ID of the request
		"status 000":                         "HTTP/1.1 000 OK\r\n%s" + length + "\r\n",
		"status 000, connection closed":      "HTTP/1.1 000 OK\r\n%sConnection: close\r\n" + length + "\r\n",
		"status 099":                         "HTTP/1.1 099 OK\r\n%s" + length + "\r\n",
		"status 101 that no one asked for":   "HTTP/1.1 101 Switching Protocols\r\n%s" + length + "\r\n",
		"status 101 after an interim reply":  "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 101 X\r\n%sUpgrade: a\r\n\r\n",
		"status 101 before a reply":          "HTTP/1.1 101 X\r\n\r\nHTTP/1.1 200 OK\r\n%s" + length + "\r\n",
		"status of four digits":              "HTTP/1.1 2000 OK\r\n%s" + length + "\r\n",
		"blank in a name":                    "HTTP/1.1 200 OK\r\n%sA b: c\r\n" + length + "\r\n",
		"blank after the name of the length": "HTTP/1.1 200 OK\r\n%sContent-Length : 5\r\n" + length + "\r\n",
		"blank in the name of the length":    "HTTP/1.1 200 OK\r\n%sContent Length: 5\r\n" + length + "\r\n",
		"line that begins with a blank":      "HTTP/1.1 200 OK\r\n%sA: b\r\n c\r\n" + length + "\r\n",
		"tab in a name":                      "HTTP/1.1 200 OK\r\n%sA\tb: c\r\n" + length + "\r\n",
		"control byte in a name":             "HTTP/1.1 200 OK\r\n%sA\x01b: c\r\n" + length + "\r\n",
		"NUL in a name":                      "HTTP/1.1 200 OK\r\n%sA\x00: c\r\n" + length + "\r\n",
		"no name":                            "HTTP/1.1 200 OK\r\n%s: c\r\n" + length + "\r\n",
		"status 000 after an interim reply":  "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 000 OK\r\n%s" + length + "\r\n",
		"blank in an interim reply":          "HTTP/1.1 103 X\r\nA b: c\r\n\r\nHTTP/1.1 200 OK\r\n%s" + length + "\r\n",
		"interim status 099":                 "HTTP/1.1 099 X\r\n\r\nHTTP/1.1 200 OK\r\n%s" + length + "\r\n",
		"blank in a trailer":                 "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nA b: c\r\n\r\n",
		"control byte in a trailer":          "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nA\x01: c\r\n\r\n",
	} {
		Convey(name, t, func() {
			f := startUpstream(func(nc net.Conn, req *fasthttp.Request) bool {
				field := Siskin.RequestID + ": " + requestID(req) + "\r\n"
				if requestID(req) == "" {
					field = ""
				}
				_, err := fmt.Fprintf(nc, format, field)
				return err == nil
			})
			p := f.pool()
			Convey("is no reply to a request", func() {
				for range 2 {
					shouldEndWith(p, attemptFor(p, "r1"), route.ConnectionLost)
				}
				So(p.OpenConnections(), ShouldEqual, 0)
			})
			Convey("is no reply to a probe", func() {
				result, err := p.Probe(context.Background(), "/health", "")
				So(err, ShouldNotBeNil)
				So(result.Answered, ShouldBeFalse)
				So(result.OK, ShouldBeFalse)
				So(p.OpenConnections(), ShouldEqual, 0)
			})
		})
	}
}

// TestRepliesOfTwoPackets guards against the check of a head taking a part of it for the whole.
func TestRepliesOfTwoPackets(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nSiskin-Request-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nA: b\r\n\r\n"
	for cut := 1; cut < len(text); cut++ {
		Convey(fmt.Sprintf("a reply that comes in two parts, the first of %d bytes", cut), t, func() {
			f := startUpstream(func(nc net.Conn, _ *fasthttp.Request) bool {
				_, err := io.WriteString(nc, text[:cut])
				if err == nil {
					_, err = io.WriteString(nc, text[cut:])
				}
				return err == nil
			})
			p := f.pool()
			shouldEndWith(p, attemptFor(p, "r1"), route.Succeeded)
		})
	}
}
