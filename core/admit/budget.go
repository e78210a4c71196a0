package admit

// Budget allows extra work, such as retries, in proportion to ordinary work: each
// Deposit adds Ratio, each Withdraw takes one. It does not depend on time, so it does
// not grow without traffic.
type Budget struct {
	Ratio float64 // extra units allowed for each unit of ordinary work
	Burst float64 // highest balance

	balance float64
}

// Deposit adds the credit of one unit of ordinary work.
func (b *Budget) Deposit() {
	b.balance = min(b.Burst, b.balance+b.Ratio)
}

// Ready reports whether Withdraw would succeed.
func (b *Budget) Ready() bool { return b.Ratio > 0 && b.balance >= 1 }

// Withdraw takes one unit of extra work and reports whether the budget allowed it.
func (b *Budget) Withdraw() bool {
	if !b.Ready() {
		return false
	}
	b.balance--
	return true
}

// Balance returns the extra units available now.
func (b *Budget) Balance() float64 { return b.balance }

// Fill raises the balance to Burst, so that extra work is allowed before any ordinary
// work was done.
func (b *Budget) Fill() { b.balance = b.Burst }
