package route

// freelist recycles values, so that a request in steady state costs no allocation.
type freelist[T any] struct{ free []*T }

// take returns a recycled value, with its contents as they were at put, or a new
// one.
func (f *freelist[T]) take() *T {
	n := len(f.free)
	if n == 0 {
		return new(T)
	}
	v := f.free[n-1]
	f.free = f.free[:n-1]
	return v
}

func (f *freelist[T]) put(v *T) { f.free = append(f.free, v) }
