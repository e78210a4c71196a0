package table

import (
	"math"
	"net/netip"
	"strconv"
	"strings"

	"siskinpath/core/clock"
)

// required is passed as the default of a cell that must not be empty.
const required = -1

// cellReader parses the cells of one row and records validation errors.
type cellReader struct {
	p           *parser
	line        int
	cells       []string
	priorErrors int // validation errors recorded before this row
}

// valid reports whether no error has been found in the row so far.
func (c *cellReader) valid() bool { return len(c.p.errs) == c.priorErrors }

func (c *cellReader) addError(column, fix, problem string, args ...any) {
	c.p.addError(c.line, column, fix, problem, args...)
}

// rejectStrayCells records an error for each non-empty cell whose column has no
// name in the header.
func (c *cellReader) rejectStrayCells() {
	known := map[int]bool{}
	for _, i := range c.p.index {
		known[i] = true
	}
	for i, cell := range c.cells {
		if cell != "" && !known[i] {
			c.addError("", "remove it", "cell %d, %q, has no column", i+1, cell)
		}
	}
}

// text returns the text of a cell, which is empty when the row is too short to have it.
func (c *cellReader) text(column string) string {
	if i := c.p.index[column]; i < len(c.cells) {
		return c.cells[i]
	}
	return ""
}

// requireEmpty records an error for each given column that has a value. validIn
// says for the message which kind of row the columns belong to.
func (c *cellReader) requireEmpty(validIn string, columns ...string) {
	for _, column := range columns {
		if cell := c.text(column); cell != "" {
			c.addError(column, "leave it empty", "%q: only %s may set this column", cell, validIn)
		}
	}
}

// integer parses a whole number from low to high. An empty cell means defaultValue.
func (c *cellReader) integer(column string, low, high, defaultValue int) int {
	cell := c.text(column)
	if cell == "" && defaultValue != required {
		return defaultValue
	}
	n, err := strconv.Atoi(cell)
	if err != nil || n < low || n > high {
		c.addError(column, "use a whole number from "+strconv.Itoa(low)+" to "+strconv.Itoa(high), "%q is out of range", cell)
		return low
	}
	return n
}

func (c *cellReader) millis(column string, high, defaultValue int) clock.Millis {
	return clock.Millis(c.integer(column, 1, high, defaultValue))
}

// decimal parses a number from 0 to high. An empty cell means 0.
func (c *cellReader) decimal(column string, high int) float64 {
	cell := c.text(column)
	if cell == "" {
		return 0
	}
	digits := cell
	if c.p.decimalComma {
		digits = strings.Replace(cell, ",", ".", 1)
	}
	x, err := strconv.ParseFloat(digits, 64)
	if err != nil || math.IsNaN(x) || x < 0 || x > float64(high) {
		c.addError(column, "use a number from 0 to "+strconv.Itoa(high), "%q is out of range", cell)
		return 0
	}
	return math.Abs(x) // turns -0 into 0
}

func (c *cellReader) address() string {
	cell := c.text(ColumnAddress)
	a, err := netip.ParseAddrPort(cell)
	if err != nil || a.Port() == 0 || a.Addr().Zone() != "" {
		c.addError(ColumnAddress, "use an IP and a port, as in 10.1.2.3:8080 or [fd00::1]:8080", "%q is not an address", cell)
		return ""
	}
	return a.String()
}

func (c *cellReader) state() State {
	switch s := State(c.text(ColumnState)); s {
	case "":
		return Active
	case Active, Leaving:
		return s
	default:
		c.addError(ColumnState, "use active or leaving", "%q is not a state", string(s))
		return Active
	}
}
