package route

// Ablation turns parts of the policy off, so that a measurement shows what each
// is worth. The zero value is the whole policy.
type Ablation struct {
	NoHedge              bool // no second attempt while the first is in flight
	NoStragglerAvoidance bool // stragglers are used like other upstreams
	NoSpill              bool // a request stays with the owner it came to
	NoPull               bool // queued requests are not passed to an owner with free slots
	NoEjection           bool // failing upstreams are used like other ones
	NoSlowStart          bool // a new upstream gets its whole share at once
	NoAdmissionControl   bool // requests that can't be in time are queued all the same
	NoZonePreference     bool // availability zones don't matter
	FIFOQueue            bool // the queue is served by arrival, not by deadline
}
