package place

import (
	"slices"

	"github.com/pkg/errors"
)

// Mechanism is a part of the decisions that can be switched off for a comparison run.
type Mechanism struct {
	Name string
	Load string // the load or fault that it answers
	off  func(t *Tuning)
}

// Mechanisms lists the parts that can be switched off.
func Mechanisms() []Mechanism {
	return []Mechanism{
		{"allocator", "loads near the capacity, found by many hosts at once", func(t *Tuning) { t.NoAllocator = true }},
		{"patience", "bursts above the capacity", func(t *Tuning) { t.NoPatience = true }},
		{"return_order", "callers that come back after a loss of power or a refusal", func(t *Tuning) { t.NoReturnOrder = true }},
		{"prompt_return", "upstreams that refuse at random although they have room", func(t *Tuning) { t.NoPromptReturn = true }},
		{"doubt", "probes that a busy processor answers late", func(t *Tuning) { t.NoDoubt = true }},
		{"probes", "upstreams whose load changes many times a second", func(t *Tuning) { t.NoProbe = true }},
		{"hedges", "upstreams that turn slow", func(t *Tuning) { t.NoHedge = true }},
		{"wait_for_fast", "slow spells of some upstreams", func(t *Tuning) { t.AcceptSlow = true }},
		{"refuse_late", "requests that would be late while others wait", func(t *Tuning) { t.SendLate = true }},
		{"early_refusal", "queues longer than what upstreams free in time", func(t *Tuning) { t.NoEarlyRefusal = true }},
		{"shed_rules", "all upstreams shedding alike", func(t *Tuning) { t.NoShedRules = true }},
		{"fair_use", "an organisation far above its usual demand", func(t *Tuning) { t.NoFairUse = true }},
	}
}

// Disable switches off the mechanisms with the given names. It returns an error for a name
// that does not exist.
func (t *Tuning) Disable(names ...string) error {
	list := Mechanisms()
	for _, name := range names {
		i := slices.IndexFunc(list, func(m Mechanism) bool { return m.Name == name })
		if i < 0 {
			return errors.Errorf("mechanism %q does not exist", name)
		}
		list[i].off(t)
	}
	return nil
}
