package launch

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Limits of one call to a control or operator endpoint.
const (
	callTimeout   = 2 * time.Second
	maxReplyBytes = 256 << 20
)

var client = fasthttp.Client{MaxResponseBodySize: maxReplyBytes, MaxIdemponentCallAttempts: 1}

// Get decodes the JSON at address and path into v, unless v is nil.
func Get(address, path string, v any) (err error) {
	return call(fasthttp.MethodGet, address, path, nil, v)
}

// Post sends body as JSON and decodes the reply into v, unless v is nil.
func Post(address, path string, body, v any) (err error) {
	return call(fasthttp.MethodPost, address, path, body, v)
}

// StatusError is the error for a response with a status other than 200.
type StatusError struct {
	Status int
	Body   string
}

// Error returns the status message and the response body.
func (e *StatusError) Error() string { return fasthttp.StatusMessage(e.Status) + ": " + e.Body }

func call(method, address, path string, body, v any) (err error) {
	defer func() { err = errors.WithMessagef(err, "%s %s%s", method, address, path) }()
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return err
		}
		req.SetBody(b)
	}
	if err := client.DoTimeout(req, resp, callTimeout); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return &StatusError{Status: resp.StatusCode(), Body: string(resp.Body())}
	}
	if v == nil {
		return nil
	}
	return json.Unmarshal(resp.Body(), v)
}
