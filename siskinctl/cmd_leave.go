package main

import "siskinpath/core/table"

var leaveCommand = command{"leave", "Mark an upstream as leaving, so that it receives no new requests.", func() any { return &leaveCmd{} }}

type leaveCmd struct {
	editFlags
	Service  string `arg:"" help:"Service."`
	Upstream string `arg:"" help:"Upstream."`
}

// Run marks the upstream.
func (c *leaveCmd) Run(a *app) error {
	cell := table.CellValue{Column: table.ColumnState, Value: string(table.Leaving)}
	return c.setCells(a, c.Service, c.Upstream, []table.CellValue{cell}, false)
}
