package main

import (
	"strings"

	"github.com/pkg/errors"

	"siskinpath/core/table"
)

var setCommand = command{"set", "Change cells of one row.", func() any { return &setCmd{} }}

type setCmd struct {
	editFlags
	Add      bool     `help:"Add the row if it doesn't exist."`
	Service  string   `arg:"" help:"Service."`
	Upstream string   `arg:"" help:"Upstream, or * for the limits of the service."`
	Cells    []string `arg:"" help:"Cells to change, for example weight=50." name:"column=value"`
}

// Run changes the cells.
func (c *setCmd) Run(a *app) error {
	cells := make([]table.CellValue, len(c.Cells))
	for i, text := range c.Cells {
		column, value, ok := strings.Cut(text, "=")
		if !ok {
			return usageError(errors.Errorf("%q has no =; write column=value, for example weight=50", text))
		}
		cells[i] = table.CellValue{Column: column, Value: value}
	}
	return c.setCells(a, c.Service, c.Upstream, cells, c.Add)
}

// setCells changes cells of a row of the newest version and commits the edit.
func (e *editFlags) setCells(a *app, service, upstream string, cells []table.CellValue, add bool) error {
	s, err := a.readNewest()
	if err != nil {
		return err
	}
	base, err := s.validTable()
	if err != nil {
		return err
	}
	mine, err := table.SetCells(base, service, upstream, cells, add)
	if err != nil {
		return err
	}
	return e.commit(a, base, mine)
}
