package filter

import (
	"siskinpath/core/clock"
	"siskinpath/core/table"
	"siskinpath/siskinpathd/call"
)

// noTableRetryDelay is the retry delay of a request to a host that has no routing
// table yet.
const noTableRetryDelay = clock.Second

// Lookup refuses requests for services that are not in the table in force.
type Lookup struct {
	Table func() *table.Table // the version in force; nil when there is none yet
}

// Apply implements Filter.
func (l *Lookup) Apply(c *call.Call, next Next) call.Answer {
	t := l.Table()
	if t == nil {
		return call.NotRun(call.ReasonNoTable, noTableRetryDelay)
	}
	if t.Service(c.Service) == nil {
		return call.NotRun(call.ReasonUnknownService, 0)
	}
	return next(c)
}
