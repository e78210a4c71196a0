package filter

import (
	"siskinpath/siskinpathd/call"
	"siskinpath/siskinpathd/service"
)

// Dispatch passes the request to its service, which chooses an upstream, waits for
// a slot and sends the request.
type Dispatch struct {
	Services *service.Set
}

// Apply implements Filter. It never calls next, because Dispatch ends the chain.
func (ch *Dispatch) Apply(c *call.Call, _ Next) call.Answer {
	r := ch.Services.Get(c.Service)
	if r == nil {
		return call.NotRun(call.ReasonNoTable, noTableRetryDelay)
	}
	return r.Do(c)
}
