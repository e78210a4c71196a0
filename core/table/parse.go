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

// Parse reads a table from its text form: a header and comma-separated rows.
// What spreadsheets make of such a file is taken too: a byte order mark,
// semicolons or tabs between cells, decimal commas, empty rows and cells at the
// end.
//
// The error is a Faults with everything that is wrong. The table then holds what
// is sound, for a host to serve; it is nil when nothing is.
func Parse(text []byte) (t *Table, err error) {
	p := newParser()
	p.parse(text)
	p.withoutUpstreams()
	p.t.sort()
	if len(p.t.Services) == 0 {
		if len(p.faults) == 0 {
			p.fault(0, "", "add a row for each upstream", "the table has no rows")
		}
		return nil, p.faults
	}
	return p.t, p.faults.err()
}

// Check returns what is wrong with a table as a whole, as a Faults. A table out
// of Parse without an error has none, but a merged one may.
func Check(t *Table) error {
	if t == nil {
		return nil
	}
	_, err := Parse(Format(t))
	return err
}

// rowKey names a row.
type rowKey struct {
	service  string
	upstream string
}

// addressKey names an address within a service.
type addressKey struct {
	service string
	address string
}

// parser holds what is known while a text is read.
type parser struct {
	t            *Table
	faults       ValidationErrors
	index        map[string]int // column to its place in a row
	decimalComma bool
	seen         map[rowKey]int // row to the line it stands on
	addresses    map[addressKey]string
	upstreams    map[string]int // service to its rows of upstreams, faulty ones too
	eachRowAlone bool           // rows are not compared with each other
}

func newParser() *parser {
	return &parser{
		t:         &Table{},
		seen:      map[rowKey]int{},
		addresses: map[addressKey]string{},
		upstreams: map[string]int{},
	}
}

func (p *parser) fault(row int, column, fix, problem string, args ...any) {
	p.faults = append(p.faults, ValidationError{Row: row, Column: column, Problem: fmt.Sprintf(problem, args...), Fix: fix})
}

func (p *parser) parse(text []byte) {
	if len(text) > MaxTextBytes {
		p.fault(0, "", fmt.Sprintf("keep it under %d", MaxTextBytes), "the table has %d bytes", len(text))
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
		p.fault(1, "", "begin with the header "+strings.Join(Columns(), ","), "there is no header")
		return
	}
	if !p.header(header) {
		return
	}
	p.rows(r)
}

// separator guesses what stands between cells from the header.
func separator(text []byte) rune {
	first, _, _ := bytes.Cut(text, []byte("\n"))
	for _, c := range []byte{',', ';', '\t'} {
		if bytes.IndexByte(first, c) >= 0 {
			return rune(c)
		}
	}
	return ','
}

func (p *parser) header(cells []string) bool {
	p.index = map[string]int{}
	before := len(p.faults)
	for i, cell := range cells {
		cell = strings.TrimSpace(cell)
		switch _, twice := p.index[cell]; {
		case cell == "":
		case !slices.Contains(Columns(), cell):
			p.fault(1, cell, "remove it, or use one of "+strings.Join(Columns(), " "), "unknown column")
		case twice:
			p.fault(1, cell, "remove one", "the column stands twice")
		default:
			p.index[cell] = i
		}
	}
	for _, column := range Columns() {
		if _, ok := p.index[column]; !ok {
			p.fault(1, column, "add it; its cells may be empty", "the column is missing")
		}
	}
	return len(p.faults) == before
}

func (p *parser) rows(r *csv.Reader) {
	for n := 0; ; n++ {
		cells, err := r.Read()
		if errors.Is(err, io.EOF) {
			return
		}
		var broken *csv.ParseError
		if errors.As(err, &broken) {
			p.fault(broken.StartLine, "", "close the quotes", "the row can't be read: %v", broken.Err)
			return
		}
		if err != nil {
			p.fault(0, "", "save it as CSV in UTF-8", "the table can't be read: %v", err)
			return
		}
		if n >= MaxRows {
			p.fault(0, "", "remove rows", "the table has more than %d rows", MaxRows)
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
	c := &cellReader{p: p, line: line, cells: cells, before: len(p.faults)}
	c.strayCells()
	service, upstream := c.text(ColumnService), c.text(ColumnUpstream)
	if !validName(service) {
		c.fault(ColumnService, nameFix, "%q is not a name", service)
	}
	if upstream != ServiceRow && !validName(upstream) {
		c.fault(ColumnUpstream, nameFix+", or * for the limits of the service", "%q is not a name", upstream)
	}
	key := rowKey{service, upstream}
	if first, twice := p.seen[key]; twice {
		c.fault(ColumnUpstream, "remove one", "%s %s stands on row %d already", service, upstream, first)
	}
	if c.sound() {
		p.seen[key] = line
	}
	if upstream == ServiceRow {
		p.serviceRow(c, service)
		return
	}
	p.upstreams[service]++
	p.upstreamRow(c, service, upstream)
}

const nameFix = "use 1 to 64 of a-z A-Z 0-9 - _ ."

func (p *parser) serviceRow(c *cellReader, name string) {
	c.mustBeEmpty("of an upstream's row", ColumnAddress, ColumnAvailabilityZone, ColumnWeight, ColumnSlots,
		ColumnConnections, ColumnState)
	s := Service{
		ProbesPerSecond: c.decimal(ColumnProbesPerSecond, MaxProbesPerSecond),
		RatePerSecond:   c.integer(ColumnRatePerSecond, 0, MaxRatePerSecond, 0),
		HedgePercent:    c.decimal(ColumnHedgePercent, MaxHedgePercent),
		MaxDeadline:     c.millis(ColumnMaxDeadline, MaxMaxDeadlineMs, DefaultMaxDeadlineMs),
	}
	if !c.sound() {
		return
	}
	service := p.t.ensure(name)
	s.Name, s.Upstreams = name, service.Upstreams
	*service = s
}

func (p *parser) upstreamRow(c *cellReader, service, name string) {
	c.mustBeEmpty("of the service's row, whose upstream is *", ColumnProbesPerSecond, ColumnHedgePercent, ColumnMaxDeadline)
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
		c.fault(ColumnAvailabilityZone, nameFix, "%q is not a name", u.AvailabilityZone)
	}
	at := addressKey{service, u.Address}
	if other, twice := p.addresses[at]; twice && u.Address != "" && !p.eachRowAlone {
		c.fault(ColumnAddress, "give each upstream its own address", "%s is the address of %s already", u.Address, other)
	}
	if !c.sound() {
		return
	}
	p.addresses[at] = name
	s := p.t.ensure(service)
	s.Upstreams = append(s.Upstreams, u)
}

// withoutUpstreams notes each service that has no row for an upstream.
func (p *parser) withoutUpstreams() {
	for _, s := range p.t.Services {
		if p.upstreams[s.Name] == 0 {
			p.fault(p.seen[rowKey{s.Name, ServiceRow}], ColumnUpstream,
				"add a row for an upstream, or remove this one", "service %s has no upstream", s.Name)
		}
	}
}
