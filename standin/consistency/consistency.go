// Package consistency compares what callers were told with what upstreams ran.
package consistency

import (
	"siskinpath/standin/caller"
	"siskinpath/standin/metric"
	"siskinpath/standin/payload"
	"siskinpath/standin/upstream"
)

// leavingGraceMs is how long after an edit was accepted an upstream marked as
// leaving may still be given new work.
const leavingGraceMs = 3000

// LeavingMark is an upstream that was marked as leaving, and when that was accepted.
type LeavingMark struct {
	Upstream string
	UnixMs   int64
}

// Violations counts what must be zero.
type Violations struct {
	DuplicateRuns     int // keys that ran more than once
	NotRunButRan      int // requests refused as not run that ran
	WrongOrganisation int // answers to somebody else's request
	Truncated         int // answers cut short and given as whole
	Corrupt           int // answers with other bytes
	LateOnLeaving     int // runs begun at a leaving upstream too late
	Examples          []string
}

// maxExamples bounds Findings.Examples.
const maxExamples = 20

func (f *Violations) add(n *int, example string) {
	*n++
	if len(f.Examples) < maxExamples {
		f.Examples = append(f.Examples, example)
	}
}

// Compare finds what must not have happened.
func Compare(entries []caller.Entry, runs []upstream.Run, marks []LeavingMark) Violations {
	var f Violations
	byKey, byMarker := count(runs)
	for key, n := range byKey {
		if n > 1 {
			f.add(&f.DuplicateRuns, "doubled: "+key)
		}
	}
	for _, e := range entries {
		f.entry(e, byKey, byMarker)
	}
	f.leaving(runs, marks)
	return f
}

func count(runs []upstream.Run) (byKey, byMarker map[string]int) {
	byKey, byMarker = map[string]int{}, map[string]int{}
	for _, r := range runs {
		if r.Key != "" {
			byKey[r.Key]++
		}
		byMarker[r.Marker]++
	}
	return byKey, byMarker
}

func (f *Violations) entry(e caller.Entry, byKey, byMarker map[string]int) {
	if e.Key != "" && e.Final == caller.NotRun && byKey[e.Key] > 0 {
		f.add(&f.NotRunButRan, "not run but ran: "+e.Key+" "+e.History())
	}
	for _, a := range e.Attempts {
		if e.Key == "" && a.Outcome == caller.NotRun && byMarker[a.Marker] > 0 {
			f.add(&f.NotRunButRan, "not run but ran: attempt "+a.Marker+" "+a.Reason)
		}
		f.attempt(a)
	}
}

func (f *Violations) attempt(a caller.Attempt) {
	switch a.Verdict {
	case payload.WrongOrganisation:
		f.add(&f.WrongOrganisation, "wrong organisation: attempt "+a.Marker)
	case payload.Truncated:
		f.add(&f.Truncated, "truncated: attempt "+a.Marker)
	case payload.Corrupt:
		f.add(&f.Corrupt, "corrupt: attempt "+a.Marker)
	case payload.Intact:
	}
}

func (f *Violations) leaving(runs []upstream.Run, marks []LeavingMark) {
	for _, m := range marks {
		for _, r := range runs {
			if r.Upstream == m.Upstream && r.StartedUnixMs > m.UnixMs+leavingGraceMs {
				f.add(&f.LateOnLeaving, "late at leaving "+r.Upstream+": "+r.Marker)
			}
		}
	}
}

// None tells whether nothing was found.
func (f Violations) None() bool {
	return f.DuplicateRuns+f.NotRunButRan+f.WrongOrganisation+f.Truncated+f.Corrupt+f.LateOnLeaving == 0
}

// Metrics returns one figure per kind of finding.
func (f Violations) Metrics() []metric.Metric {
	return []metric.Metric{
		{Name: "doubled", Value: float64(f.DuplicateRuns)},
		{Name: "not_run_but_ran", Value: float64(f.NotRunButRan)},
		{Name: "wrong_organisation", Value: float64(f.WrongOrganisation)},
		{Name: "truncated", Value: float64(f.Truncated)},
		{Name: "corrupt", Value: float64(f.Corrupt)},
		{Name: "leaving_upstream_late_requests", Value: float64(f.LateOnLeaving)},
	}
}
