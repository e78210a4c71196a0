package table

import (
	"bytes"
	"encoding/csv"
	"slices"
	"strings"
)

// Conflict is a row that two edits changed in different ways. Base, Mine and
// Theirs are lines of CSV, empty where the row is absent.
type Conflict struct {
	Service  string `json:"service"`
	Upstream string `json:"upstream"`
	Base     string `json:"base"`
	Mine     string `json:"mine"`
	Theirs   string `json:"theirs"`
}

// Merge performs a three-way merge of two edits of base. A row that only one edit
// changed takes that change. A row that both changed in different ways is a
// Conflict, and so is a service that one edit removed while the other changed one
// of its rows. With conflicts the merged table is nil; otherwise it has the
// version of theirs. A nil table counts as empty.
func Merge(base, mine, theirs *Table) (merged *Table, conflicts []Conflict) {
	b, m, t := cellsByKey(base), cellsByKey(mine), cellsByKey(theirs)
	result := map[rowKey][]string{}
	for _, key := range sortedKeys(b, m, t) {
		row, ok := mergeRow(b[key], m[key], t[key])
		if !ok || removedWhileEdited(key, b, m, t) || removedWhileEdited(key, b, t, m) {
			conflicts = append(conflicts, Conflict{
				Service:  key.service,
				Upstream: key.upstream,
				Base:     formatCells(b[key]),
				Mine:     formatCells(m[key]),
				Theirs:   formatCells(t[key]),
			})
			continue
		}
		if row != nil {
			result[key] = row
		}
	}
	if len(conflicts) > 0 {
		return nil, conflicts
	}
	merged = tableFromCells(result)
	if theirs != nil {
		merged.Version = theirs.Version
	}
	return merged, nil
}

// mergeRow returns the merged row, or false when both edits changed it in
// different ways.
func mergeRow(base, mine, theirs []string) (row []string, ok bool) {
	switch {
	case slices.Equal(mine, theirs):
		return mine, true
	case slices.Equal(base, mine):
		return theirs, true
	case slices.Equal(base, theirs):
		return mine, true
	}
	return nil, false
}

// removedWhileEdited reports whether key is the row of a service that remover
// removed, while editor kept it and changed or added a row of that service.
func removedWhileEdited(key rowKey, base, remover, editor map[rowKey][]string) bool {
	if key.upstream != ServiceRow || base[key] == nil || remover[key] != nil || editor[key] == nil {
		return false
	}
	for other, cells := range editor {
		if other.service == key.service && !slices.Equal(cells, base[other]) {
			return true
		}
	}
	return false
}

// tableFromCells builds a table from valid rows. It doesn't check whether the rows
// are consistent with each other: that is left to Check.
func tableFromCells(rows map[rowKey][]string) *Table {
	p := newParser()
	p.skipCrossRowChecks = true
	p.parse(formatRows(rows))
	p.t.sort()
	return p.t
}

// formatRows returns rows as CSV, with the header.
func formatRows(rows map[rowKey][]string) []byte {
	var b bytes.Buffer
	w := csv.NewWriter(&b)
	_ = w.Write(Columns())
	for _, key := range sortedKeys(rows) {
		_ = w.Write(rows[key])
	}
	w.Flush()
	return b.Bytes()
}

// formatCells returns a row as a line of CSV without the line end.
func formatCells(cells []string) string { return strings.Join(cells, ",") }
