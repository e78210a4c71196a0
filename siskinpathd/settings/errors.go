package settings

import "strings"

// FieldError is one thing wrong with the settings.
type FieldError struct {
	File    string
	Key     string // dotted, as in listen.caller
	Problem string
	Fix     string
}

// Error gives the fault in one line: file, key, what is wrong and the fix.
func (f FieldError) Error() string {
	line := f.File + ": " + f.Key + ": " + f.Problem + "; " + f.Fix
	return strings.ReplaceAll(line, "\n", " ")
}

// FieldErrors is every fault found, in the order of their keys.
type FieldErrors []FieldError

// Error gives one line for each fault.
func (l FieldErrors) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}
