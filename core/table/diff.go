package table

import (
	"slices"
	"strings"
)

// ChangeKind says what happened to a row.
type ChangeKind string

// Kinds of Change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// CellChange is a cell before and after.
type CellChange struct {
	Column string `json:"column"`
	Old    string `json:"old"`
	New    string `json:"new"`
}

// Change is a row that differs between two tables.
type Change struct {
	Kind     ChangeKind   `json:"kind"`
	Service  string       `json:"service"`
	Upstream string       `json:"upstream"` // ServiceRow for the limits of the service
	Cells    []CellChange `json:"cells"`    // the cells that differ
}

// Diff returns what changes from one table to another, in the order of Format.
// Versions are not compared; nil is the empty table.
func Diff(from, to *Table) (changes []Change) {
	before, after := cellsByKey(from), cellsByKey(to)
	for _, key := range sortedKeys(before, after) {
		was, is := before[key], after[key]
		if slices.Equal(was, is) {
			continue
		}
		changes = append(changes, Change{
			Kind:     kindOf(was, is),
			Service:  key.service,
			Upstream: key.upstream,
			Cells:    cellChanges(was, is),
		})
	}
	return changes
}

func kindOf(was, is []string) ChangeKind {
	switch {
	case was == nil:
		return Added
	case is == nil:
		return Removed
	}
	return Changed
}

// cellChanges compares two rows of which one may be absent. The two columns
// that name the row are left out.
func cellChanges(was, is []string) (cells []CellChange) {
	for i, column := range Columns() {
		if column == ColumnService || column == ColumnUpstream {
			continue
		}
		c := CellChange{Column: column, Old: cellAt(was, i), New: cellAt(is, i)}
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

// sortedKeys returns the keys of all maps in the order of Format.
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

// compareKeys orders by service, the service's own row first.
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
