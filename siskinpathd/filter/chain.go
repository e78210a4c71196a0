// Package filter holds the filters that a request passes on a host, between the
// listener that decoded it and the upstream that runs it.
package filter

import "siskinpath/siskinpathd/call"

// Next is the rest of a chain.
type Next func(*call.Call) call.Answer

// Filter is one step on the way of a request. It answers itself or calls next.
type Filter interface {
	Apply(c *call.Call, next Next) call.Answer
}

// Chain is the filters in the order in which a request meets them.
type Chain struct {
	Lookup      *Lookup
	Deadline    *Deadline
	Admission   *Admission
	Idempotency *Idempotency
	Dispatch    *Dispatch
}

// FromCaller is the chain of a request that a caller sent, and of one that
// another host passed on because this host decides about its key.
func (ch *Chain) FromCaller() Next {
	return join(ch.Lookup, ch.Deadline, ch.Admission, ch.Idempotency, ch.Dispatch)
}

// FromHost is the chain of a request that another host has decided to run and
// passed on for want of a slot. That host holds the record of its key.
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
