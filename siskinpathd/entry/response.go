package entry

import (
	"strconv"

	"github.com/valyala/fasthttp"

	"siskinpath/core/clock"
	"siskinpath/siskinpathd/upstream"
)

// Response is the final response to a caller's request.
type Response struct {
	Status int
	Header [][2]string
	Body   []byte
	// RetryAfter is the delay after which the caller may retry a refused request.
	RetryAfter clock.Millis
	// Reason is why the host itself responded. It is empty for the response of an
	// upstream.
	Reason string

	reply *upstream.Reply // that it comes from; nil for none
}

// release returns the memory of the response, which must not be used any more.
func (r *Response) release() {
	if r.reply != nil {
		r.reply.Release()
	}
}

// reasonHeader holds Response.Reason. It is meant for people who debug a request.
const reasonHeader = "Siskin-Reason"

func responseFromReply(r *upstream.Reply) *Response {
	return &Response{Status: r.Status, Header: r.Header, Body: r.Body, reply: r}
}

// notRunResponse returns the response for a request that did not run and never will.
func notRunResponse(reason string, after clock.Millis) *Response {
	return &Response{Status: fasthttp.StatusServiceUnavailable, Reason: reason, RetryAfter: after}
}

// writeTo copies the response into one of fasthttp.
func (r *Response) writeTo(resp *fasthttp.Response) {
	resp.SetStatusCode(r.Status)
	resp.Header.SetNoDefaultContentType(true)
	for _, kv := range r.Header {
		resp.Header.Add(kv[0], kv[1])
	}
	if r.Reason != "" {
		resp.Header.Set(reasonHeader, r.Reason)
	}
	if r.RetryAfter > 0 {
		seconds := float64(r.RetryAfter) / float64(clock.Second)
		resp.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(seconds, 'f', 3, 64))
	}
	resp.SetBodyRaw(r.Body)
}
