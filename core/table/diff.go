package table

import (
	"slices"
	"strings"
)

// ChangeKind says how a row changed.
type ChangeKind string

// Kinds of Change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// CellChange is the old and the new text of a cell.
type CellChange struct {
	Column string `json:"column"`
	Old    string `json:"old"`
	New    string `json:"new"`
}

// Change is a row that differs between two tables.
type Change struct {
	Kind     ChangeKind   `json:"kind"`
	Service  string       `json:"service"`
	Upstream string       `json:"upstream"` // ServiceRow in the row that holds the limits of the service
	Cells    []CellChange `json:"cells"`    // only the cells that differ
}

// Diff returns the rows that differ between two tables, in the order in which
// Format writes them. It doesn't compare versions. A nil table counts as empty.
func Diff(from, to *Table) (changes []Change) {
	before, after := cellsByKey(from), cellsByKey(to)
	for _, key := range sortedKeys(before, after) {
		oldCells, newCells := before[key], after[key]
		if slices.Equal(oldCells, newCells) {
			continue
		}
		changes = append(changes, Change{
			Kind:     kindOf(oldCells, newCells),
			Service:  key.service,
			Upstream: key.upstream,
			Cells:    cellChanges(oldCells, newCells),
		})
	}
	return changes
}

func kindOf(oldCells, newCells []string) ChangeKind {
	switch {
	case oldCells == nil:
		return Added
	case newCells == nil:
		return Removed
	}
	return Changed
}

// cellChanges returns the cells that differ between two rows, either of which may
// be nil. It skips the two columns that identify the row.
func cellChanges(oldCells, newCells []string) (cells []CellChange) {
	for i, column := range Columns() {
		if column == ColumnService || column == ColumnUpstream {
			continue
		}
		c := CellChange{Column: column, Old: cellAt(oldCells, i), New: cellAt(newCells, i)}
		if c.Old != c.New {
			cells = append(cells, c)
		}
	}
	return cells
}

func cellAt(cells []string, i int) string {
	if cells == nil {
		return ""
	}
	return cells[i]
}

func cellsByKey(t *Table) map[rowKey][]string {
	m := map[rowKey][]string{}
	for _, r := range textRows(t) {
		m[r.key] = r.cells
	}
	return m
}

// sortedKeys returns the keys of all maps without duplicates, in the order in
// which Format writes them.
func sortedKeys(maps ...map[rowKey][]string) (keys []rowKey) {
	seen := map[rowKey]bool{}
	for _, m := range maps {
		for key := range m {
			if !seen[key] {
				seen[key] = true
				keys = append(keys, key)
			}
		}
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}

// compareKeys orders rows by service and then by upstream, with the row of the
// service's limits before those of its upstreams.
func compareKeys(a, b rowKey) int {
	if c := strings.Compare(a.service, b.service); c != 0 {
		return c
	}
	switch {
	case a.upstream == b.upstream:
		return 0
	case a.upstream == ServiceRow:
		return -1
	case b.upstream == ServiceRow:
		return 1
	}
	return strings.Compare(a.upstream, b.upstream)
}
