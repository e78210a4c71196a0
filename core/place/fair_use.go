package place

const (
	// aboveFairUse is the use of a quota, as a multiple of the usual one, from which an
	// organisation is above its fair use. Quotas are 1.6 times the usual demand, so one that
	// uses all of its quota is above it also where it sends half of all requests.
	aboveFairUse = 1.25
	// fairUseWeight is the weight of one request in the usual use.
	fairUseWeight = 0.05
	// aboveFairUseWait is the share of the usual wait that is left to requests above fair
	// use while this host is short of room.
	aboveFairUseWait = 0.1
)

// fairUse is a moving average of how much of their quotas the organisations of recent
// requests have used. It is the harmonic mean: the arithmetic mean would follow one
// organisation that sends most of the requests.
type fairUse struct {
	inverse float64 // mean of 1/use; 0 before the first request
}

// record adds a request whose organisation has used a share of its quota, 0 if it has
// none, and reports whether that is above fair use.
func (f *fairUse) record(use float64) bool {
	if use <= 0 {
		return false
	}
	if f.inverse == 0 {
		f.inverse = 1 / use
	}
	f.inverse += fairUseWeight * (1/use - f.inverse)
	return use*f.inverse > aboveFairUse
}
