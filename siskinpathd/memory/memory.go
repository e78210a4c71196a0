// Package memory counts the memory that a process holds for its clients, so that all parts of
// it together stay below one limit.
package memory

import "sync/atomic"

// Budget is a number of bytes that is shared by several parts. Set the exported fields before
// use. It is safe for concurrent use. A nil Budget has no limit.
type Budget struct {
	Total int64 // bytes

	inUse atomic.Int64
}

// Take takes n bytes. It returns false, and takes nothing, if they do not fit.
func (b *Budget) Take(n int64) bool {
	if b == nil {
		return true
	}
	if b.inUse.Add(n) > b.Total {
		b.inUse.Add(-n)
		return false
	}
	return true
}

// Release returns n bytes that were taken.
func (b *Budget) Release(n int64) {
	if b != nil {
		b.inUse.Add(-n)
	}
}

// InUse returns the number of bytes that are taken.
func (b *Budget) InUse() int64 {
	if b == nil {
		return 0
	}
	return b.inUse.Load()
}

// Part is a part of a budget with a limit of its own. Set the exported fields before use. It
// is safe for concurrent use. A nil Part has no limit.
type Part struct {
	Limit  int64   // bytes
	Budget *Budget // nil for none

	inUse atomic.Int64
}

// Take takes n bytes of the part and of its budget. It returns false, and takes nothing, if
// they do not fit.
func (p *Part) Take(n int64) bool { return p.TakeWithin(n, 1) }

// TakeWithin takes n bytes if at most a share of the part, from 0 to 1, is then in use.
func (p *Part) TakeWithin(n int64, share float64) bool {
	if p == nil {
		return true
	}
	if p.inUse.Add(n) > int64(share*float64(p.Limit)) || !p.Budget.Take(n) {
		p.inUse.Add(-n)
		return false
	}
	return true
}

// Release returns n bytes that were taken.
func (p *Part) Release(n int64) {
	if p == nil {
		return
	}
	p.inUse.Add(-n)
	p.Budget.Release(n)
}

// InUse returns the number of bytes that are taken.
func (p *Part) InUse() int64 {
	if p == nil {
		return 0
	}
	return p.inUse.Load()
}
