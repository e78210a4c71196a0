package route

// Ablation disables parts of the policy, so that a measurement shows what each
// contributes. The zero value is the full policy.
type Ablation struct {
	NoHedge              bool // no second attempt while the first is in flight
	NoStragglerAvoidance bool // stragglers are used like other upstreams
	NoSpill              bool // no request is forwarded because the slots here are taken
	NoPull               bool // queued requests are not forwarded to an owner that reports free slots
	NoEjection           bool // failing upstreams are not ejected
	NoSlowStart          bool // a new upstream gets its full share at once
	NoAdmissionControl   bool // requests that cannot meet their deadline are queued as well
	NoZonePreference     bool // upstreams in the same availability zone are not preferred
	FIFOQueue            bool // the queue is ordered by arrival, not by deadline
}
