package entry

import (
	"strconv"

	"github.com/valyala/fasthttp"

	"siskinpath/core/clock"
	"siskinpath/siskinpathd/upstream"
)

// Response is the final answer to a caller's request.
type Response struct {
	Status int
	Header [][2]string
	Body   []byte
	// RetryAfter is when the caller may come back, with a refusal.
	RetryAfter clock.Millis
	// Reason is why the host itself answered, "" for an upstream's answer.
	Reason string
}

// reasonHeader tells a person why the host itself answered.
const reasonHeader = "Siskin-Reason"

func fromReply(r *upstream.Reply) *Response {
	return &Response{Status: r.Status, Header: r.Header, Body: r.Body}
}

// notRun says that the request did not run and never will.
func notRun(reason string, after clock.Millis) *Response {
	return &Response{Status: fasthttp.StatusServiceUnavailable, Reason: reason, RetryAfter: after}
}

// fill writes the answer into a response of the library.
func (a *Response) fill(resp *fasthttp.Response) {
	resp.SetStatusCode(a.Status)
	resp.Header.SetNoDefaultContentType(true)
	for _, kv := range a.Header {
		resp.Header.Add(kv[0], kv[1])
	}
	if a.Reason != "" {
		resp.Header.Set(reasonHeader, a.Reason)
	}
	if a.RetryAfter > 0 {
		seconds := float64(a.RetryAfter) / float64(clock.Second)
		resp.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(seconds, 'f', 3, 64))
	}
	resp.SetBodyRaw(a.Body)
}
