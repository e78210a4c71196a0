package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"
)

// unit is what a whole number counts.
type unit string

const (
	milliseconds unit = "milliseconds"
	bytes        unit = "bytes"
	connections  unit = "connections"
	requests     unit = "requests"
)

// span is the range of a number and its default.
type span struct {
	min, max, fallback int
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]*$`)

// name is a required name of up to maxNameBytes letters, digits, "_", "." and "-".
func name(to *string, key, example string) field {
	return field{key: key, required: true, example: example, set: func(v any) string {
		s, ok := v.(string)
		if !ok {
			return wrongType("text", v)
		}
		if len(s) > maxNameBytes || !namePattern.MatchString(s) {
			return fmt.Sprintf("%q is not 1 to %d letters, digits, _, . or -, beginning with a letter or digit", s, maxNameBytes)
		}
		*to = s
		return ""
	}}
}

// address is a required IP number with a port, in the one form that others can
// compare: no name, no wildcard, no port 0.
func address(to *string, key, example string) field {
	return field{key: key, required: true, example: example, set: func(v any) string {
		s, ok := v.(string)
		if !ok {
			return wrongType("an IP number and a port", v)
		}
		a, err := netip.ParseAddrPort(s)
		switch {
		case err != nil:
			return fmt.Sprintf("%q is not an IP number and a port", s)
		case a.Addr().IsUnspecified():
			return fmt.Sprintf("%q names no host that others could connect to", s)
		case a.Port() == 0:
			return fmt.Sprintf("%q has port 0", s)
		}
		*to = a.String()
		return ""
	}}
}

// number is a whole number within r.
func number(to *int, key string, u unit, r span) field {
	*to = r.fallback
	example := fmt.Sprintf("%s = %d", lastPart(key), r.fallback)
	return field{key: key, example: example, set: func(v any) string {
		n, ok := v.(int64)
		if !ok {
			return wrongType("a whole number of "+string(u), v)
		}
		if n < int64(r.min) || n > int64(r.max) {
			return fmt.Sprintf("%d is out of range: %d to %d %s", n, r.min, r.max, u)
		}
		*to = int(n)
		return ""
	}}
}

// choice is one of a few words.
func choice(to *string, key, fallback string, allowed ...string) field {
	*to = fallback
	example := fmt.Sprintf("%s = %q", lastPart(key), fallback)
	return field{key: key, example: example, set: func(v any) string {
		s, ok := v.(string)
		if !ok || !slices.Contains(allowed, s) {
			return fmt.Sprintf("%s is not one of %s", show(v), strings.Join(allowed, ", "))
		}
		*to = s
		return ""
	}}
}

func wrongType(want string, v any) string {
	return fmt.Sprintf("%s is not %s", show(v), want)
}

// show prints a value of the file as a person wrote it, near enough.
func show(v any) string {
	switch v := v.(type) {
	case string:
		return fmt.Sprintf("%q", v)
	case map[string]any:
		return "a section"
	default:
		return fmt.Sprint(v)
	}
}

func lastPart(key string) string { return key[strings.LastIndex(key, ".")+1:] }
