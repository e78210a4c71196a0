// Package consistency checks the results that callers got against the requests
// that upstreams ran.
package consistency

import (
	"siskinpath/standin/caller"
	"siskinpath/standin/metric"
	"siskinpath/standin/payload"
	"siskinpath/standin/upstream"
)

// leavingGraceMs is the time after the platform accepted an edit within which an
// upstream that the edit marks as leaving may still receive new requests.
const leavingGraceMs = 3000

// LeavingMark is an upstream that was marked as leaving, with the time at which
// the platform accepted the edit.
type LeavingMark struct {
	Upstream string
	UnixMs   int64
}

// Violations counts violated invariants. All counts must be zero.
type Violations struct {
	DuplicateRuns     int // idempotency keys that ran more than once
	NotRunButRan      int // requests that ran although they were refused as not run
	WrongOrganisation int // answers that belong to another request or organisation
	Truncated         int // truncated answers delivered as complete ones
	Corrupt           int // answers with wrong bytes after the right header
	LateOnLeaving     int // runs that started at a leaving upstream more than leavingGraceMs after its mark
	Examples          []string
}

// maxExamples limits the length of Violations.Examples.
const maxExamples = 20

func (v *Violations) add(n *int, example string) {
	*n++
	if len(v.Examples) < maxExamples {
		v.Examples = append(v.Examples, example)
	}
}

// Compare returns the violations in the callers' records and the upstreams' runs.
func Compare(records []caller.RequestRecord, runs []upstream.Run, marks []LeavingMark) Violations {
	var v Violations
	byKey, byMarker := countRuns(runs)
	for key, n := range byKey {
		if n > 1 {
			v.add(&v.DuplicateRuns, "ran more than once: "+key)
		}
	}
	for _, e := range records {
		v.checkRecord(e, byKey, byMarker)
	}
	v.checkLeaving(runs, marks)
	return v
}

// countRuns counts the runs of each idempotency key and of each marker.
func countRuns(runs []upstream.Run) (byKey, byMarker map[string]int) {
	byKey, byMarker = map[string]int{}, map[string]int{}
	for _, r := range runs {
		if r.Key != "" {
			byKey[r.Key]++
		}
		byMarker[r.Marker]++
	}
	return byKey, byMarker
}

func (v *Violations) checkRecord(e caller.RequestRecord, byKey, byMarker map[string]int) {
	if e.Key != "" && e.Final == caller.NotRun && byKey[e.Key] > 0 {
		v.add(&v.NotRunButRan, "not run but ran: "+e.Key+" "+e.History())
	}
	for _, a := range e.Attempts {
		if e.Key == "" && a.Outcome == caller.NotRun && byMarker[a.Marker] > 0 {
			v.add(&v.NotRunButRan, "not run but ran: attempt "+a.Marker+" "+a.Reason)
		}
		v.checkAttempt(a)
	}
}

func (v *Violations) checkAttempt(a caller.Attempt) {
	switch a.Verdict {
	case payload.WrongOrganisation:
		v.add(&v.WrongOrganisation, "wrong organisation: attempt "+a.Marker)
	case payload.Truncated:
		v.add(&v.Truncated, "truncated: attempt "+a.Marker)
	case payload.Corrupt:
		v.add(&v.Corrupt, "corrupt: attempt "+a.Marker)
	case payload.Intact:
	}
}

func (v *Violations) checkLeaving(runs []upstream.Run, marks []LeavingMark) {
	for _, m := range marks {
		for _, r := range runs {
			if r.Upstream == m.Upstream && r.StartedUnixMs > m.UnixMs+leavingGraceMs {
				v.add(&v.LateOnLeaving, "late run on leaving "+r.Upstream+": "+r.Marker)
			}
		}
	}
}

// None reports whether there are no violations.
func (v Violations) None() bool {
	return v.DuplicateRuns+v.NotRunButRan+v.WrongOrganisation+v.Truncated+v.Corrupt+v.LateOnLeaving == 0
}

// Metrics returns one metric per kind of violation.
func (v Violations) Metrics() []metric.Metric {
	return []metric.Metric{
		{Name: "doubled", Value: float64(v.DuplicateRuns)},
		{Name: "not_run_but_ran", Value: float64(v.NotRunButRan)},
		{Name: "wrong_organisation", Value: float64(v.WrongOrganisation)},
		{Name: "truncated", Value: float64(v.Truncated)},
		{Name: "corrupt", Value: float64(v.Corrupt)},
		{Name: "leaving_upstream_late_requests", Value: float64(v.LateOnLeaving)},
	}
}
