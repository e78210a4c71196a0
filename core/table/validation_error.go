package table

import (
	"fmt"
	"strings"
)

// ValidationError is one thing wrong with a table's text form.
type ValidationError struct {
	Row     int    `json:"row"`    // line of the text, the header being 1; 0 when no single row is at fault
	Column  string `json:"column"` // empty when no single column is at fault
	Problem string `json:"problem"`
	Fix     string `json:"fix"`
}

// String returns the fault on one line.
func (f ValidationError) String() string {
	var b strings.Builder
	if f.Row > 0 {
		fmt.Fprintf(&b, "row %d", f.Row)
	}
	if f.Column != "" {
		if b.Len() > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(&b, "column %s", f.Column)
	}
	if b.Len() > 0 {
		b.WriteString(": ")
	}
	fmt.Fprintf(&b, "%s; %s", f.Problem, f.Fix)
	return b.String()
}

// ValidationErrors are all the faults of a table, as an error.
type ValidationErrors []ValidationError

// Error returns one line for each fault.
func (f ValidationErrors) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}
	return strings.Join(lines, "\n")
}

// err returns f as an error, nil when there is no fault.
func (f ValidationErrors) err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
