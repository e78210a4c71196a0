package table

import (
	"bytes"
	"encoding/csv"
	"slices"
	"strings"
)

// Conflict is a row that two edits changed differently. The rows are given in
// the text form, empty when absent.
type Conflict struct {
	Service  string `json:"service"`
	Upstream string `json:"upstream"`
	Base     string `json:"base"`
	Mine     string `json:"mine"`
	Theirs   string `json:"theirs"`
}

// Merge brings together two edits of base. Rows that one of them changed take
// that change; a row that both changed differently is a Conflict, and so is a
// service that one removed while the other changed a row of it. With conflicts
// there is no merged table. Its version is that of theirs; nil is the empty table.
func Merge(base, mine, theirs *Table) (merged *Table, conflicts []Conflict) {
	b, m, t := cellsByKey(base), cellsByKey(mine), cellsByKey(theirs)
	result := map[rowKey][]string{}
	for _, key := range sortedKeys(b, m, t) {
		row, ok := mergeRow(b[key], m[key], t[key])
		if !ok || removedUnderEdit(key, b, m, t) || removedUnderEdit(key, b, t, m) {
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
	merged = fromCells(result)
	if theirs != nil {
		merged.Version = theirs.Version
	}
	return merged, nil
}

// mergeRow returns the row that one of both edits made of base; false when both
// changed it differently.
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

// removedUnderEdit reports whether key is the row of a service that one edit
// removed, while the other changed or added a row of that service and kept it.
func removedUnderEdit(key rowKey, base, remover, editor map[rowKey][]string) bool {
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

// fromCells builds a table from rows that Format could have written, all of them:
// whether they go together is for Check to say.
func fromCells(rows map[rowKey][]string) *Table {
	p := newParser()
	p.eachRowAlone = true
	p.parse(formatRows(rows))
	p.t.sort()
	return p.t
}

// formatRows returns rows in the text form, with the header.
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

// formatCells returns a row in the text form without its line end.
func formatCells(cells []string) string { return strings.Join(cells, ",") }
