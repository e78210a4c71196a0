package loadsim

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Counts counts the requests of one group by outcome.
type Counts struct {
	Offered, InTime, Late, Refused, Failed int
	Refusals                               int // with those after which the caller came back
	// WorkMs is the mean service time of the kind; 0 for other groups.
	WorkMs float64
}

// InTimeShare returns the share of the requests answered in time.
func (c *Counts) InTimeShare() float64 { return float64(c.InTime) / float64(max(1, c.Offered)) }

// AnsweredShare returns the share of the requests answered in time or late.
func (c *Counts) AnsweredShare() float64 {
	return float64(c.InTime+c.Late) / float64(max(1, c.Offered))
}

func (c *Counts) add(x *Counts) {
	c.Offered += x.Offered
	c.InTime += x.InTime
	c.Late += x.Late
	c.Refused += x.Refused
	c.Failed += x.Failed
	c.Refusals += x.Refusals
}

// Tally holds the counts of each group by its name.
type Tally map[string]*Counts

func (t Tally) of(name string) *Counts {
	if t[name] == nil {
		t[name] = &Counts{}
	}
	return t[name]
}

// Add adds the counts of another simulation.
func (t Tally) Add(x Tally) {
	for name, c := range x {
		t.of(name).add(c)
	}
}

// Total returns the sum over all groups.
func (t Tally) Total() (sum Counts) {
	for _, c := range t {
		sum.add(c)
	}
	return sum
}

// String lists the groups by name, with shares in percent.
func (t Tally) String() string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(t)) {
		c := t[name]
		share := func(n int) float64 { return 100 * float64(n) / float64(max(1, c.Offered)) }
		fmt.Fprintf(&b, "%s %d: in time %.1f late %.1f refused %.1f failed %.1f; ", name, c.Offered,
			share(c.InTime), share(c.Late), share(c.Refused), share(c.Failed))
	}
	return b.String()
}

// count changes the counts of the groups that r belongs to.
func (r *Request) count(change func(c *Counts)) {
	for _, c := range r.counts {
		change(c)
	}
}
