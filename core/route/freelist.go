package route

// freelist keeps values for use again, so that a request costs no allocation.
type freelist[T any] struct{ free []*T }

// take returns a value as it was put, or a new one.
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
