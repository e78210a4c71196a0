package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"
)

// unit is the unit of an integer setting.
type unit string

const (
	milliseconds unit = "milliseconds"
	bytes        unit = "bytes"
	connections  unit = "connections"
	requests     unit = "requests"
)

// intRange is the range of valid values of an integer setting and its default value.
type intRange struct {
	min, max, defaultValue int
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]*$`)

// nameField returns a required field for a name of up to maxNameBytes letters,
// digits, "_", "." and "-".
func nameField(dst *string, key, example string) field {
	return field{key: key, required: true, example: example, set: func(v any) string {
		s, ok := v.(string)
		if !ok {
			return wrongType("a string", v)
		}
		if len(s) > maxNameBytes || !namePattern.MatchString(s) {
			return fmt.Sprintf("%q is not a valid name: must be 1 to %d letters, digits, _, . or -, starting with a letter or digit", s, maxNameBytes)
		}
		*dst = s
		return ""
	}}
}

// addressField returns a required field for an IP address with a port. Addresses are
// stored in canonical form so that other hosts can compare them. Host names, wildcard
// addresses and port 0 are invalid.
func addressField(dst *string, key, example string) field {
	return field{key: key, required: true, example: example, set: func(v any) string {
		s, ok := v.(string)
		if !ok {
			return wrongType("an IP address with a port", v)
		}
		a, err := netip.ParseAddrPort(s)
		switch {
		case err != nil:
			return fmt.Sprintf("%q is not an IP address with a port", s)
		case a.Addr().IsUnspecified():
			return fmt.Sprintf("%q is a wildcard address, which other hosts cannot connect to", s)
		case a.Port() == 0:
			return fmt.Sprintf("%q has port 0", s)
		}
		*dst = a.String()
		return ""
	}}
}

// intField returns an optional field for an integer within r.
func intField(dst *int, key string, u unit, r intRange) field {
	*dst = r.defaultValue
	example := fmt.Sprintf("%s = %d", lastKeyPart(key), r.defaultValue)
	return field{key: key, example: example, set: func(v any) string {
		n, ok := v.(int64)
		if !ok {
			return wrongType("a whole number of "+string(u), v)
		}
		if n < int64(r.min) || n > int64(r.max) {
			return fmt.Sprintf("%d is out of range: %d to %d %s", n, r.min, r.max, u)
		}
		*dst = int(n)
		return ""
	}}
}

// enumField returns an optional field for one of the allowed strings.
func enumField(dst *string, key, defaultValue string, allowed ...string) field {
	*dst = defaultValue
	example := fmt.Sprintf("%s = %q", lastKeyPart(key), defaultValue)
	return field{key: key, example: example, set: func(v any) string {
		s, ok := v.(string)
		if !ok || !slices.Contains(allowed, s) {
			return fmt.Sprintf("%s is not one of %s", formatValue(v), strings.Join(allowed, ", "))
		}
		*dst = s
		return ""
	}}
}

func wrongType(want string, v any) string {
	return fmt.Sprintf("%s is not %s", formatValue(v), want)
}

// formatValue formats a value approximately as it is written in the file.
func formatValue(v any) string {
	switch v := v.(type) {
	case string:
		return fmt.Sprintf("%q", v)
	case map[string]any:
		return "a section"
	default:
		return fmt.Sprint(v)
	}
}

func lastKeyPart(key string) string { return key[strings.LastIndex(key, ".")+1:] }
