package settings

import (
	"cmp"
	"fmt"
	"slices"
)

// checker validates the contents of one settings file and collects the errors.
type checker struct {
	path   string
	unused map[string]any // value by dotted key, for keys that no field has taken yet
	errs   FieldErrors
}

// flatten adds the values of section to c.unused under dotted keys. An empty section
// adds nothing.
func (c *checker) flatten(prefix string, section map[string]any) {
	for k, v := range section {
		key := prefix + k
		if inner, ok := v.(map[string]any); ok {
			c.flatten(key+".", inner)
			continue
		}
		c.unused[key] = v
	}
}

func (c *checker) report(key, problem, fix string) {
	c.errs = append(c.errs, FieldError{File: c.path, Key: key, Problem: problem, Fix: fix})
}

func (c *checker) apply(f field) {
	fix := "for example: " + f.example
	v, ok := c.unused[f.key]
	delete(c.unused, f.key)
	if !ok && f.required {
		c.report(f.key, "required key is missing", fix)
	}
	if !ok {
		return
	}
	if problem := f.set(v); problem != "" {
		c.report(f.key, problem, fix)
	}
}

// reportUnknownKeys reports every key that does not belong to a field.
func (c *checker) reportUnknownKeys() {
	for key := range c.unused {
		c.report(key, "unknown key", "remove it or correct the spelling")
	}
}

// reportDuplicateAddresses reports addresses that more than one key has.
func (c *checker) reportDuplicateAddresses(s *Settings) {
	seen := map[string]string{}
	for _, a := range s.addresses() {
		if a.value == "" {
			continue
		}
		if first, ok := seen[a.value]; ok {
			c.report(a.key, fmt.Sprintf("%s is already used by %s", a.value, first), "use a different port")
			continue
		}
		seen[a.value] = a.key
	}
}

func (c *checker) sortedErrors() FieldErrors {
	slices.SortStableFunc(c.errs, func(a, b FieldError) int { return cmp.Compare(a.Key, b.Key) })
	return c.errs
}

type keyedAddress struct {
	key   string
	value string
}

func (s *Settings) addresses() []keyedAddress {
	return append(s.listenAddresses(), keyedAddress{"platform.address", s.Platform.Address})
}

func (s *Settings) listenAddresses() []keyedAddress {
	return []keyedAddress{
		{"listen.caller", s.Listen.Caller},
		{"listen.peer", s.Listen.Peer},
		{"listen.operator", s.Listen.Operator},
	}
}
