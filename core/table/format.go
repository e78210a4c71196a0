package table

import (
	"bytes"
	"cmp"
	"encoding/csv"
	"slices"
	"strconv"
)

// Format returns the CSV form of a table: the header, then for each service its
// own row followed by those of its upstreams. Services and upstreams are sorted by
// name, so that equal tables give equal bytes.
func Format(t *Table) []byte {
	var b bytes.Buffer
	w := csv.NewWriter(&b)
	_ = w.Write(Columns())
	for _, r := range textRows(t) {
		_ = w.Write(r.cells)
	}
	w.Flush()
	return b.Bytes()
}

// textRow is a row in the form in which Format writes it.
type textRow struct {
	key   rowKey
	cells []string // one for each of Columns
}

// textRows returns all rows in the order in which Format writes them.
func textRows(t *Table) (rows []textRow) {
	if t == nil {
		return nil
	}
	sorted := t.clone()
	sorted.sort()
	for _, s := range sorted.Services {
		rows = append(rows, serviceCells(s))
		for _, u := range s.Upstreams {
			rows = append(rows, upstreamCells(u))
		}
	}
	return rows
}

func serviceCells(s Service) textRow {
	return textRow{
		key: rowKey{s.Name, ServiceRow},
		cells: []string{
			s.Name, ServiceRow, "", "", "", "", "", strconv.Itoa(s.RatePerSecond), "",
			formatDecimal(s.ProbesPerSecond), formatDecimal(s.HedgePercent), strconv.FormatInt(int64(s.MaxDeadline), 10),
		},
	}
}

func upstreamCells(u Upstream) textRow {
	return textRow{
		key: rowKey{u.Service, u.Name},
		cells: []string{
			u.Service, u.Name, u.Address, u.AvailabilityZone, strconv.Itoa(u.Weight), strconv.Itoa(u.Slots),
			strconv.Itoa(u.Connections), strconv.Itoa(u.RatePerSecond), string(u.State), "", "", "",
		},
	}
}

func formatDecimal(x float64) string { return strconv.FormatFloat(x, 'f', -1, 64) }

// sort sorts services and upstreams by name.
func (t *Table) sort() {
	slices.SortFunc(t.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	for _, s := range t.Services {
		slices.SortFunc(s.Upstreams, func(a, b Upstream) int { return cmp.Compare(a.Name, b.Name) })
	}
}

// clone returns a deep copy of t.
func (t *Table) clone() *Table {
	c := &Table{Version: t.Version, Services: slices.Clone(t.Services)}
	for i := range c.Services {
		c.Services[i].Upstreams = slices.Clone(c.Services[i].Upstreams)
	}
	return c
}

// ensureService returns the named service, which it adds with default limits when
// the table doesn't have it.
func (t *Table) ensureService(name string) *Service {
	if s := t.Service(name); s != nil {
		return s
	}
	t.Services = append(t.Services, Service{Name: name, MaxDeadline: DefaultMaxDeadlineMs})
	return &t.Services[len(t.Services)-1]
}
