package report

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
)

// WriteTables writes rows as Markdown to name.md in dir, with a table for each
// service and condition. A table has a row for each policy and a column for each
// load.
func WriteTables(dir, name string, rows []Row) (err error) {
	path := filepath.Join(dir, name+".md")
	defer func() { err = errors.WithMessage(err, path) }()
	var b strings.Builder
	for _, g := range groupRows(rows) {
		g.write(&b)
	}
	return os.WriteFile(path, []byte(b.String()), 0o644)
}

// group holds the rows of one service and condition.
type group struct {
	title    string
	loads    []string
	policies []string
	cells    map[[2]string]Row // by load and policy
	rows     []Row             // of all groups
}

// groupRows groups rows by service and condition, in order of first occurrence.
func groupRows(rows []Row) []*group {
	var list []*group
	byTitle := make(map[string]*group)
	for _, r := range rows {
		title := r.Scenario.Deployment.Service + ", calm"
		if r.Scenario.Stragglers {
			title = r.Scenario.Deployment.Service + ", stragglers"
		}
		g := byTitle[title]
		if g == nil {
			g = &group{title: title, cells: make(map[[2]string]Row), rows: rows}
			byTitle[title] = g
			list = append(list, g)
		}
		g.add(r)
	}
	return list
}

func (g *group) add(r Row) {
	load, name := number(r.Scenario.Load), r.Scenario.Policy.Name
	g.loads = appendUnique(g.loads, load)
	g.policies = appendUnique(g.policies, name)
	g.cells[[2]string{load, name}] = r
}

// appendUnique appends s to list unless it is there already.
func appendUnique(list []string, s string) []string {
	for _, old := range list {
		if old == s {
			return list
		}
	}
	return append(list, s)
}

func (g *group) write(b *strings.Builder) { writeTable(b, g.title, g.loads, g.policies, g.cell) }

// writeTable writes a table with a row for each policy and a column for each load.
func writeTable(b *strings.Builder, title string, loads, policies []string, cell func(load, policy string) string) {
	fmt.Fprintf(b, "\n**%s**\n\n| policy |", title)
	for _, load := range loads {
		fmt.Fprintf(b, " load %s |", load)
	}
	b.WriteString("\n|---|" + strings.Repeat("---|", len(loads)) + "\n")
	for _, name := range policies {
		fmt.Fprintf(b, "| %s |", name)
		for _, load := range loads {
			fmt.Fprintf(b, " %s |", cell(load, name))
		}
		b.WriteString("\n")
	}
}

// cell returns p50 / p99 / p99.9 in milliseconds, the ratio of p99 to that of
// random, and the percentages refused and late if they are not zero.
func (g *group) cell(load, name string) string {
	r, ok := g.cells[[2]string{load, name}]
	if !ok {
		return "not run"
	}
	res := r.Result
	text := fmt.Sprintf("%.0f / %.0f / %.0f", res.Quantile(0.5), res.Quantile(0.99), res.Quantile(0.999))
	if base := findResult(g.rows, r, "random"); base != nil {
		text += fmt.Sprintf(" (%.2f)", ratio(res.Quantile(0.99), base.Quantile(0.99)))
	}
	if res.Refused > 0 {
		text += fmt.Sprintf(" r%.2f%%", 100*res.Share(res.Refused))
	}
	if res.Late > 0 {
		text += fmt.Sprintf(" l%.2f%%", 100*res.Share(res.Late))
	}
	return text
}
