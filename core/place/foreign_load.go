package place

// foreignReports is the number of load reports that foreignLoad goes by.
const foreignReports = 3

// foreignLoad estimates, at an allocator, how many requests an upstream runs for which no
// slot was granted. A single report differs from the grants by the requests on their way
// to the upstream and the answers on their way back, so the least of the last ones counts.
type foreignLoad struct {
	known   bool
	reports [foreignReports]int
	next    int
}

// record records by how much the load in a report exceeds the slots in use. If this host is
// no allocator, it forgets what it knows.
func (f *foreignLoad) record(allocates bool, excess int) {
	switch {
	case !allocates:
		*f = foreignLoad{}
		return
	case !f.known:
		f.known = true
		for i := range f.reports {
			f.reports[i] = excess
		}
	}
	f.reports[f.next] = excess
	f.next = (f.next + 1) % foreignReports
}

func (f *foreignLoad) requests() int {
	least := f.reports[0]
	for _, n := range f.reports[1:] {
		least = min(least, n)
	}
	return max(0, least)
}
