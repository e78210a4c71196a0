package admit

// Budget allows extra work in proportion to ordinary work: each Earn adds
// Ratio, each Spend takes one. It has no notion of time, so a service without
// traffic earns nothing.
type Budget struct {
	Ratio float64 // extra work for each piece of ordinary work
	Burst float64 // most that is kept for later

	kept float64
}

// Deposit counts one piece of ordinary work.
func (b *Budget) Deposit() {
	b.kept = min(b.Burst, b.kept+b.Ratio)
}

// Ready tells whether Withdraw would succeed.
func (b *Budget) Ready() bool { return b.Ratio > 0 && b.kept >= 1 }

// Withdraw takes one piece of extra work, and tells whether the budget had it.
func (b *Budget) Withdraw() bool {
	if !b.Ready() {
		return false
	}
	b.kept--
	return true
}

// Balance returns the extra work that could be done now.
func (b *Budget) Balance() float64 { return b.kept }

// Fill brings the budget to its burst, for a start without any work done yet.
func (b *Budget) Fill() { b.kept = b.Burst }
