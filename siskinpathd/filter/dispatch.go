package filter

import (
	"siskinpath/siskinpathd/call"
	"siskinpath/siskinpathd/service"
)

// Dispatch hands the request to the service, which chooses an upstream, waits for
// a slot, and forwards.
type Dispatch struct {
	Services *service.Set
}

// Apply implements Filter. It is the last filter.
func (ch *Dispatch) Apply(c *call.Call, _ Next) call.Answer {
	r := ch.Services.Get(c.Service)
	if r == nil {
		return call.NotRun(call.ReasonNoTable, noTableRetryDelay)
	}
	return r.Do(c)
}
