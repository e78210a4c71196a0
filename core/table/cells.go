package table

import (
	"math"
	"net/netip"
	"strconv"
	"strings"

	"siskinpath/core/clock"
)

// required as a default says that a cell may not be empty.
const required = -1

// cellReader reads the cells of one row and notes what is wrong with them.
type cellReader struct {
	p      *parser
	line   int
	cells  []string
	before int // faults noted before this row
}

// sound reports whether nothing was wrong with the row so far.
func (c *cellReader) sound() bool { return len(c.p.faults) == c.before }

func (c *cellReader) fault(column, fix, problem string, args ...any) {
	c.p.fault(c.line, column, fix, problem, args...)
}

// strayCells notes cells to the right of the header or below an empty one.
func (c *cellReader) strayCells() {
	known := map[int]bool{}
	for _, i := range c.p.index {
		known[i] = true
	}
	for i, cell := range c.cells {
		if cell != "" && !known[i] {
			c.fault("", "remove it", "cell %d, %q, has no column", i+1, cell)
		}
	}
}

// text returns a cell, empty when the row ends before it.
func (c *cellReader) text(column string) string {
	if i := c.p.index[column]; i < len(c.cells) {
		return c.cells[i]
	}
	return ""
}

func (c *cellReader) mustBeEmpty(whose string, columns ...string) {
	for _, column := range columns {
		if cell := c.text(column); cell != "" {
			c.fault(column, "leave it empty", "%q: the cell is one %s", cell, whose)
		}
	}
}

// integer reads a whole number from low to high; unset is what an empty cell means.
func (c *cellReader) integer(column string, low, high, unset int) int {
	cell := c.text(column)
	if cell == "" && unset != required {
		return unset
	}
	n, err := strconv.Atoi(cell)
	if err != nil || n < low || n > high {
		c.fault(column, "use a whole number from "+strconv.Itoa(low)+" to "+strconv.Itoa(high), "%q is out of range", cell)
		return low
	}
	return n
}

func (c *cellReader) millis(column string, high, unset int) clock.Millis {
	return clock.Millis(c.integer(column, 1, high, unset))
}

// decimal reads a number from 0 to high; an empty cell means 0.
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
		c.fault(column, "use a number from 0 to "+strconv.Itoa(high), "%q is out of range", cell)
		return 0
	}
	return math.Abs(x) // -0 is 0
}

func (c *cellReader) address() string {
	cell := c.text(ColumnAddress)
	a, err := netip.ParseAddrPort(cell)
	if err != nil || a.Port() == 0 || a.Addr().Zone() != "" {
		c.fault(ColumnAddress, "use an IP and a port, as in 10.1.2.3:8080 or [fd00::1]:8080", "%q is not an address", cell)
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
		c.fault(ColumnState, "use active or leaving", "%q is not a state", string(s))
		return Active
	}
}
