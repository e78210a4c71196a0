package settings

import "strings"

// FieldError describes an error in the value of one key.
type FieldError struct {
	File    string
	Key     string // dotted key such as listen.caller; "(file)" for the file as a whole
	Problem string
	Fix     string // what the user can do about it
}

// Error returns file, key, problem and fix on a single line.
func (e FieldError) Error() string {
	line := e.File + ": " + e.Key + ": " + e.Problem + "; " + e.Fix
	return strings.ReplaceAll(line, "\n", " ")
}

// FieldErrors holds all errors found in a settings file, sorted by key.
type FieldErrors []FieldError

// Error returns one line for each error.
func (l FieldErrors) Error() string {
	lines := make([]string, len(l))
	for i, e := range l {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}
