package table

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Parse parses the CSV form of a table: a header and comma-separated rows. It also
// accepts what spreadsheets write: a byte order mark, semicolons or tabs as
// separators, decimal commas, empty rows, and empty trailing cells.
//
// The error is a ValidationErrors that lists every error found. The table then
// holds the valid rows, which a host can serve; it is nil when there are none.
func Parse(text []byte) (t *Table, err error) {
	p := newParser()
	p.parse(text)
	p.requireUpstreams()
	p.t.sort()
	if len(p.t.Services) == 0 {
		if len(p.errs) == 0 {
			p.addError(0, "", "add a row for each upstream", "the table has no rows")
		}
		return nil, p.errs
	}
	return p.t, p.errs.err()
}

// Check validates a whole table and returns its errors as a ValidationErrors. A
// table that Parse returned without an error passes, but a merged one may fail.
func Check(t *Table) error {
	if t == nil {
		return nil
	}
	_, err := Parse(Format(t))
	return err
}

// rowKey identifies a row of the table.
type rowKey struct {
	service  string
	upstream string
}

// addressKey identifies an address within a service.
type addressKey struct {
	service string
	address string
}

// parser is the state of parsing one table.
type parser struct {
	t                  *Table
	errs               ValidationErrors
	index              map[string]int // column name to its position in a row
	decimalComma       bool
	lines              map[rowKey]int        // line on which each valid row stands
	addresses          map[addressKey]string // name of the upstream that has each address
	upstreamRows       map[string]int        // number of upstream rows of each service, invalid ones included
	skipCrossRowChecks bool                  // don't check for addresses used by two rows
}

func newParser() *parser {
	return &parser{
		t:            &Table{},
		lines:        map[rowKey]int{},
		addresses:    map[addressKey]string{},
		upstreamRows: map[string]int{},
	}
}

func (p *parser) addError(row int, column, fix, problem string, args ...any) {
	p.errs = append(p.errs, ValidationError{Row: row, Column: column, Problem: fmt.Sprintf(problem, args...), Fix: fix})
}

func (p *parser) parse(text []byte) {
	if len(text) > MaxTextBytes {
		p.addError(0, "", fmt.Sprintf("keep it under %d", MaxTextBytes), "the table has %d bytes", len(text))
		return
	}
	text = bytes.TrimPrefix(text, []byte("\xef\xbb\xbf"))
	r := csv.NewReader(bytes.NewReader(text))
	r.Comma = separator(text)
	p.decimalComma = r.Comma != ','
	r.FieldsPerRecord = -1
	r.TrimLeadingSpace = true
	header, err := r.Read()
	if err != nil {
		p.addError(1, "", "begin with the header "+strings.Join(Columns(), ","), "there is no header")
		return
	}
	if !p.header(header) {
		return
	}
	p.rows(r)
}

// separator detects from the header which character separates cells.
func separator(text []byte) rune {
	first, _, _ := bytes.Cut(text, []byte("\n"))
	for _, c := range []byte{',', ';', '\t'} {
		if bytes.IndexByte(first, c) >= 0 {
			return rune(c)
		}
	}
	return ','
}

// header parses the header and reports whether it is valid.
func (p *parser) header(cells []string) bool {
	p.index = map[string]int{}
	before := len(p.errs)
	for i, cell := range cells {
		cell = strings.TrimSpace(cell)
		switch _, duplicate := p.index[cell]; {
		case cell == "":
		case !slices.Contains(Columns(), cell):
			p.addError(1, cell, "remove it, or use one of "+strings.Join(Columns(), " "), "unknown column")
		case duplicate:
			p.addError(1, cell, "remove one", "the column appears twice")
		default:
			p.index[cell] = i
		}
	}
	for _, column := range Columns() {
		if _, ok := p.index[column]; !ok {
			p.addError(1, column, "add it; its cells may be empty", "the column is missing")
		}
	}
	return len(p.errs) == before
}

func (p *parser) rows(r *csv.Reader) {
	for n := 0; ; n++ {
		cells, err := r.Read()
		if errors.Is(err, io.EOF) {
			return
		}
		var broken *csv.ParseError
		if errors.As(err, &broken) {
			p.addError(broken.StartLine, "", "close the quotes", "the row can't be read: %v", broken.Err)
			return
		}
		if err != nil {
			p.addError(0, "", "save it as CSV in UTF-8", "the table can't be read: %v", err)
			return
		}
		if n >= MaxRows {
			p.addError(0, "", "remove rows", "the table has more than %d rows", MaxRows)
			return
		}
		line, _ := r.FieldPos(0)
		p.row(line, cells)
	}
}

func (p *parser) row(line int, cells []string) {
	for i := range cells {
		cells[i] = strings.TrimSpace(cells[i])
	}
	if strings.Join(cells, "") == "" {
		return
	}
	c := &cellReader{p: p, line: line, cells: cells, priorErrors: len(p.errs)}
	c.rejectStrayCells()
	service, upstream := c.text(ColumnService), c.text(ColumnUpstream)
	if !validName(service) {
		c.addError(ColumnService, nameFix, "%q is not a name", service)
	}
	if upstream != ServiceRow && !validName(upstream) {
		c.addError(ColumnUpstream, nameFix+", or * for the limits of the service", "%q is not a name", upstream)
	}
	key := rowKey{service, upstream}
	if first, duplicate := p.lines[key]; duplicate {
		c.addError(ColumnUpstream, "remove one", "%s %s is already on row %d", service, upstream, first)
	}
	if c.valid() {
		p.lines[key] = line
	}
	if upstream == ServiceRow {
		p.serviceRow(c, service)
		return
	}
	p.upstreamRows[service]++
	p.upstreamRow(c, service, upstream)
}

const nameFix = "use 1 to 64 of a-z A-Z 0-9 - _ ."

func (p *parser) serviceRow(c *cellReader, name string) {
	c.requireEmpty("the row of an upstream", ColumnAddress, ColumnAvailabilityZone, ColumnWeight, ColumnSlots,
		ColumnConnections, ColumnState)
	s := Service{
		ProbesPerSecond: c.decimal(ColumnProbesPerSecond, MaxProbesPerSecond),
		RatePerSecond:   c.integer(ColumnRatePerSecond, 0, MaxRatePerSecond, 0),
		HedgePercent:    c.decimal(ColumnHedgePercent, MaxHedgePercent),
		MaxDeadline:     c.millis(ColumnMaxDeadline, MaxMaxDeadlineMs, DefaultMaxDeadlineMs),
	}
	if !c.valid() {
		return
	}
	service := p.t.ensureService(name)
	s.Name, s.Upstreams = name, service.Upstreams
	*service = s
}

func (p *parser) upstreamRow(c *cellReader, service, name string) {
	c.requireEmpty("the row of the service, whose upstream is *,", ColumnProbesPerSecond, ColumnHedgePercent, ColumnMaxDeadline)
	u := Upstream{
		Service:          service,
		Name:             name,
		Address:          c.address(),
		AvailabilityZone: c.text(ColumnAvailabilityZone),
		Weight:           c.integer(ColumnWeight, 0, MaxWeight, DefaultWeight),
		Slots:            c.integer(ColumnSlots, 1, MaxSlots, required),
		Connections:      c.integer(ColumnConnections, 1, MaxConnections, required),
		RatePerSecond:    c.integer(ColumnRatePerSecond, 0, MaxRatePerSecond, 0),
		State:            c.state(),
	}
	if !validName(u.AvailabilityZone) {
		c.addError(ColumnAvailabilityZone, nameFix, "%q is not a name", u.AvailabilityZone)
	}
	at := addressKey{service, u.Address}
	if other, duplicate := p.addresses[at]; duplicate && u.Address != "" && !p.skipCrossRowChecks {
		c.addError(ColumnAddress, "give each upstream its own address", "%s is the address of %s already", u.Address, other)
	}
	if !c.valid() {
		return
	}
	p.addresses[at] = name
	s := p.t.ensureService(service)
	s.Upstreams = append(s.Upstreams, u)
}

// requireUpstreams records an error for each service without a row for an upstream.
func (p *parser) requireUpstreams() {
	for _, s := range p.t.Services {
		if p.upstreamRows[s.Name] == 0 {
			p.addError(p.lines[rowKey{s.Name, ServiceRow}], ColumnUpstream,
				"add a row for an upstream, or remove this one", "service %s has no upstream", s.Name)
		}
	}
}
