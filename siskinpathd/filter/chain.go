// Package filter holds the filters that process a request on a host, between the
// listener that decodes it and the service that sends it to an upstream.
package filter

import "siskinpath/siskinpathd/call"

// Next runs the remaining filters of a chain.
type Next func(*call.Call) call.Answer

// Filter is one step in processing a request. It either answers the request
// itself or calls next.
type Filter interface {
	Apply(c *call.Call, next Next) call.Answer
}

// Chain holds the filters in the order in which they process a request.
type Chain struct {
	Lookup      *Lookup
	Deadline    *Deadline
	Admission   *Admission
	Idempotency *Idempotency
	Dispatch    *Dispatch
}

// FromCaller returns the chain for requests from callers, and for requests that
// another host forwards because this host decides on their keys.
func (ch *Chain) FromCaller() Next {
	return join(ch.Lookup, ch.Deadline, ch.Admission, ch.Idempotency, ch.Dispatch)
}

// FromHost returns the chain for requests that another host has decided to run and
// forwards because it has no free slot. That host holds the record of the key, so
// this chain has no Idempotency filter.
func (ch *Chain) FromHost() Next {
	return join(ch.Lookup, ch.Deadline, ch.Admission, ch.Dispatch)
}

func join(filters ...Filter) Next {
	next := Next(func(*call.Call) call.Answer { return call.Unknown(call.ReasonOutcomeUnknown) })
	for i := len(filters) - 1; i >= 0; i-- {
		f, rest := filters[i], next
		next = func(c *call.Call) call.Answer { return f.Apply(c, rest) }
	}
	return next
}
