package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is a final response.
type answer struct {
	status  int
	id      string
	seal    string
	body    string
	interim []int // statuses of the interim responses before it
	closes  bool
}

// connection is a caller's connection to a host.
type connection struct {
	nc net.Conn
	r  *bufio.Reader
}

func connect(h *host) (*connection, error) {
	nc, err := net.DialTimeout("tcp", h.caller, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{nc: nc, r: bufio.NewReader(nc)}, nil
}

// get returns the bytes of a request without a body.
func get(path, id string, deadline time.Duration) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n", path, hostHeader, id, deadline.Milliseconds())
}

// read reads the next final response. Interim responses are skipped, also unexpected ones (RFC
// 9110, section 15.2).
func (c *connection) read(until time.Time) (a answer, err error) {
	if err = c.nc.SetReadDeadline(until); err != nil {
		return a, err
	}
	for {
		resp, err := http.ReadResponse(c.r, &http.Request{Method: http.MethodGet})
		if err != nil {
			return a, err
		}
		if resp.StatusCode < http.StatusOK {
			a.interim = append(a.interim, resp.StatusCode)
			continue
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return a, err
		}
		a.status, a.id, a.seal, a.body, a.closes = resp.StatusCode, resp.Header.Get("X-Attempt-Id"), resp.Header.Get("X-Response-Seal"), string(body), resp.Close
		return a, nil
	}
}

var errTimeBudget = errors.New("no answer within the time budget")
