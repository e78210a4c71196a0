package filter

import (
	"siskinpath/core/clock"
	"siskinpath/core/route"
	"siskinpath/core/table"
	"siskinpath/siskinpathd/call"
)

// Deadline refuses requests whose deadline has passed or is further away than the
// service allows.
type Deadline struct {
	Clock clock.Clock
	Table func() *table.Table
}

// Apply implements Filter.
func (d *Deadline) Apply(c *call.Call, next Next) call.Answer {
	left := c.Deadline - d.Clock.Now()
	if left <= 0 {
		return call.NotRun(string(route.ReasonDeadline), 0)
	}
	s := d.Table().Service(c.Service)
	if s != nil && s.MaxDeadline > 0 && left > s.MaxDeadline {
		return call.BadRequest(call.ReasonDeadlineTooLong)
	}
	return next(c)
}
