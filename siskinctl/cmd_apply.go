package main

import (
	"strconv"

	"github.com/pkg/errors"

	"siskinpath/core/table"
)

var applyCommand = command{"apply", "Make a table file the newest version.", func() any { return &applyCmd{} }}

// latestBase as a base says that the file replaces whatever is there.
const latestBase = "latest"

type applyCmd struct {
	editFlags
	File string `arg:"" help:"Table file, - for standard input."`
	Base string `help:"Version that the file was made from, as printed by show. Edits of other rows since then are kept. 'latest' replaces whatever is there." placeholder:"VERSION"`
}

// Run applies a file.
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

// readBase returns the version that the file was made from. It must be given: an old
// file applied again would otherwise undo the edits since.
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
	return nil, usageError(errors.Errorf("the file differs from version %d: give --base, the version that it was made from, "+
		"or --base %s to replace whatever is there", s.Version, latestBase))
}

// replaceBase returns the version as a base for an edit that replaces all of it, also
// when parts of it can't be read.
func (s storedVersion) replaceBase() *table.Table {
	if s.Table == nil && s.Version > 0 {
		return &table.Table{Version: s.Version}
	}
	return s.Table
}
