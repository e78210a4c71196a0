package caller

import (
	"fmt"
	"slices"
	"strings"
)

// failureClass groups attempts by outcome, reason and service.
type failureClass struct {
	outcome Outcome
	reason  string
	service string
}

// FailureReasons returns one line per service, outcome and reason of attempts that
// were not answered, with their number, most frequent first.
func (l *LoadGenerator) FailureReasons() []string {
	counts := map[failureClass]int{}
	for _, r := range l.RequestLog.Records() {
		for _, a := range r.Attempts {
			if a.Outcome != Answered {
				counts[failureClass{a.Outcome, a.Reason + a.FailureKind, r.Service}]++
			}
		}
	}
	kinds := make([]failureClass, 0, len(counts))
	for k := range counts {
		kinds = append(kinds, k)
	}
	slices.SortFunc(kinds, func(a, b failureClass) int {
		if d := counts[b] - counts[a]; d != 0 {
			return d
		}
		return strings.Compare(a.service+string(a.outcome)+a.reason, b.service+string(b.outcome)+b.reason)
	})
	lines := make([]string, 0, len(kinds))
	for _, k := range kinds {
		lines = append(lines, fmt.Sprintf("%s: %d attempts %s %s", k.service, counts[k], k.outcome, k.reason))
	}
	return lines
}

// History returns a line that lists each attempt: when it ended, in milliseconds
// after the request was first sent, the host that replied, the outcome and the
// reason.
func (r RequestRecord) History() string {
	var b strings.Builder
	for _, a := range r.Attempts {
		at := a.EndedMs - r.Attempts[0].SentMs
		fmt.Fprintf(&b, "+%d %s %s %s%s; ", at, a.Host, a.Outcome, a.Reason, a.FailureKind)
	}
	return b.String()
}

// UnknownOutcomes returns one line with the history of each request whose final
// outcome is unknown, at most n per reason.
func (l *LoadGenerator) UnknownOutcomes(n int) []string {
	var lines []string
	shown := map[string]int{}
	for _, r := range l.RequestLog.Records() {
		if r.Final != Unknown {
			continue
		}
		reason := r.Attempts[len(r.Attempts)-1].Reason
		if shown[reason]++; shown[reason] <= n {
			lines = append(lines, "unknown: "+r.Key+" "+r.History())
		}
	}
	return lines
}

// OutcomesPerSecond returns one line per second since the first request, with the
// number of requests sent in it by final outcome.
func (l *LoadGenerator) OutcomesPerSecond() []string {
	records := l.RequestLog.Records()
	bySecond := map[int64]map[Outcome]int{}
	first, last := int64(0), int64(0)
	for _, r := range records {
		if len(r.Attempts) == 0 {
			continue
		}
		at := r.Attempts[0].SentMs / 1000
		if at == 0 {
			continue
		}
		if first == 0 || at < first {
			first = at
		}
		last = max(last, at)
		if bySecond[at] == nil {
			bySecond[at] = map[Outcome]int{}
		}
		bySecond[at][r.Final]++
	}
	var lines []string
	for at := first; at <= last && first > 0; at++ {
		lines = append(lines, formatSecond(at-first, bySecond[at]))
	}
	return lines
}

func formatSecond(at int64, counts map[Outcome]int) string {
	line := fmt.Sprintf("second %d:", at)
	for _, o := range []Outcome{Answered, NotRun, Unknown, NoReply, NotSent, Malformed} {
		if counts[o] > 0 {
			line += fmt.Sprintf(" %s %d", o, counts[o])
		}
	}
	return line
}
