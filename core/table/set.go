package table

import (
	"slices"

	"github.com/pkg/errors"
)

// CellValue is the new text of a cell.
type CellValue struct {
	Column string
	Value  string
}

// SetCells returns a copy of t with some cells of one row changed. A missing row
// is added when add is set, and is an error otherwise. The copy has the version
// of t.
func SetCells(t *Table, service, upstream string, cells []CellValue, add bool) (changed *Table, err error) {
	defer func() { err = errors.WithMessagef(err, "set %s %s", service, upstream) }()
	rows := cellsByKey(t)
	key := rowKey{service, upstream}
	row := slices.Clone(rows[key])
	switch {
	case row == nil && !add:
		return nil, errors.New("there is no such row; see siskinctl show, or add it with --add")
	case row == nil:
		row = make([]string, len(Columns()))
		row[0], row[1] = service, upstream
	}
	for _, c := range cells {
		i := slices.Index(Columns(), c.Column)
		if i < 0 {
			return nil, errors.Errorf("column %s: unknown column; use one of %v", c.Column, Columns()[2:])
		}
		if i < 2 {
			return nil, errors.Errorf("column %s: it identifies the row and can't be changed; add another row and remove this one", c.Column)
		}
		row[i] = c.Value
	}
	rows[key] = row
	changed, err = Parse(formatRows(rows))
	if err != nil {
		return nil, err
	}
	changed.Version = versionOf(t)
	return changed, nil
}
