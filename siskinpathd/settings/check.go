package settings

import (
	"cmp"
	"fmt"
	"slices"
)

// checker collects the faults of one file.
type checker struct {
	path   string
	given  map[string]any // dotted key to value, for keys not yet applied
	faults FieldErrors
}

// flatten turns sections into dotted keys. An empty section is no key.
func (c *checker) flatten(prefix string, section map[string]any) {
	for k, v := range section {
		key := prefix + k
		if inner, ok := v.(map[string]any); ok {
			c.flatten(key+".", inner)
			continue
		}
		c.given[key] = v
	}
}

func (c *checker) fault(key, what, fix string) {
	c.faults = append(c.faults, FieldError{File: c.path, Key: key, Problem: what, Fix: fix})
}

func (c *checker) apply(f field) {
	v, ok := c.given[f.key]
	delete(c.given, f.key)
	if !ok && f.required {
		c.fault(f.key, "is missing", "write for example "+f.example)
	}
	if !ok {
		return
	}
	if what := f.set(v); what != "" {
		c.fault(f.key, what, "write for example "+f.example)
	}
}

// unknown reports every key that no field took.
func (c *checker) unknown() {
	for key := range c.given {
		c.fault(key, "unknown key", "remove it or correct its spelling")
	}
}

// duplicates reports addresses given for two purposes.
func (c *checker) duplicates(s *Settings) {
	seen := map[string]string{}
	for _, a := range s.addresses() {
		if a.value == "" {
			continue
		}
		if first, ok := seen[a.value]; ok {
			c.fault(a.key, fmt.Sprintf("%s is also %s", a.value, first), "give each its own port")
			continue
		}
		seen[a.value] = a.key
	}
}

func (c *checker) sorted() FieldErrors {
	slices.SortStableFunc(c.faults, func(a, b FieldError) int { return cmp.Compare(a.Key, b.Key) })
	return c.faults
}

type keyedAddress struct {
	key   string
	value string
}

func (s *Settings) addresses() []keyedAddress {
	return append(s.listens(), keyedAddress{"platform.address", s.Platform.Address})
}

func (s *Settings) listens() []keyedAddress {
	return []keyedAddress{
		{"listen.caller", s.Listen.Caller},
		{"listen.peer", s.Listen.Peer},
		{"listen.operator", s.Listen.Operator},
	}
}
