package table

import (
	"fmt"
	"strings"
)

// ValidationError is one error in the CSV form of a table.
type ValidationError struct {
	Row     int    `json:"row"`    // line of the CSV, where the header is line 1; 0 when the error is not in a single row
	Column  string `json:"column"` // empty when the error is not in a single column
	Problem string `json:"problem"`
	Fix     string `json:"fix"`
}

// String formats the error on one line.
func (e ValidationError) String() string {
	var b strings.Builder
	if e.Row > 0 {
		fmt.Fprintf(&b, "row %d", e.Row)
	}
	if e.Column != "" {
		if b.Len() > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(&b, "column %s", e.Column)
	}
	if b.Len() > 0 {
		b.WriteString(": ")
	}
	fmt.Fprintf(&b, "%s; %s", e.Problem, e.Fix)
	return b.String()
}

// ValidationErrors holds all errors of a table.
type ValidationErrors []ValidationError

// Error formats each error on its own line.
func (e ValidationErrors) Error() string {
	lines := make([]string, len(e))
	for i := range e {
		lines[i] = e[i].String()
	}
	return strings.Join(lines, "\n")
}

// err returns e as an error, or nil when e is empty.
func (e ValidationErrors) err() error {
	if len(e) == 0 {
		return nil
	}
	return e
}
