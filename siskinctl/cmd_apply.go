package main

import (
	"strconv"

	"github.com/pkg/errors"

	"siskinpath/core/table"
)

var applyCommand = command{"apply", "Make a table file the newest version.", func() any { return &applyCmd{} }}

// latestBase is the value of --base for a file that replaces the newest version,
// whatever it contains.
const latestBase = "latest"

type applyCmd struct {
	editFlags
	File string `arg:"" help:"Table file, - for standard input."`
	Base string `help:"Version that the file is based on, as printed by show. Later edits of other rows are kept. 'latest' replaces the newest version, whatever it contains." placeholder:"VERSION"`
}

// Run applies the file.
func (c *applyCmd) Run(a *app) error {
	mine, err := parseFile(c.File)
	if err != nil {
		return err
	}
	base, err := c.readBase(a, mine)
	if err != nil {
		return err
	}
	return c.commit(a, base, mine)
}

// readBase returns the version that the file is based on. If the file changes
// anything, --base is required, because an old file that is applied again would
// otherwise undo all later edits.
func (c *applyCmd) readBase(a *app, mine *table.Table) (*table.Table, error) {
	if c.Base != "" && c.Base != latestBase {
		version, err := strconv.ParseUint(c.Base, 10, 64)
		if err != nil || version == 0 {
			return nil, usageError(errors.Errorf("--base %q is neither a version nor %s", c.Base, latestBase))
		}
		s, err := a.readVersion(version)
		if err != nil {
			return nil, err
		}
		return s.validTable()
	}
	s, err := a.readNewest()
	if err != nil {
		return nil, err
	}
	if c.Base == latestBase || s.Version == 0 || len(table.Diff(s.Table, mine)) == 0 {
		return s.replaceBase(), nil
	}
	return nil, usageError(errors.Errorf("the file differs from version %d: give --base with the version that the file is based on, "+
		"or --base %s to replace the newest version", s.Version, latestBase))
}

// replaceBase returns the base for an edit that replaces the whole version. Unlike
// validTable, it accepts a version with invalid rows.
func (s storedVersion) replaceBase() *table.Table {
	if s.Table == nil && s.Version > 0 {
		return &table.Table{Version: s.Version}
	}
	return s.Table
}
