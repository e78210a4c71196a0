package settings

import "strings"

// Fault is one thing wrong with the settings.
type Fault struct {
	File string
	Key  string // dotted, as in listen.caller
	What string
	Fix  string
}

// Error gives the fault in one line: file, key, what is wrong and the fix.
func (f Fault) Error() string {
	line := f.File + ": " + f.Key + ": " + f.What + "; " + f.Fix
	return strings.ReplaceAll(line, "\n", " ")
}

// Faults is every fault found, in the order of their keys.
type Faults []Fault

// Error gives one line for each fault.
func (l Faults) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}
