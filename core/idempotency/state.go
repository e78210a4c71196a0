package idempotency

// Counts are the counters of a KeyRegistry since it was created.
type Counts struct {
	Requests          int `json:"requests"`
	Runs              int `json:"runs"`
	Waits             int `json:"waits"`
	Answers           int `json:"answers"`
	Forwards          int `json:"passes"`
	Claims            int `json:"claims"`
	Unknowns          int `json:"unknowns"`
	Refusals          int `json:"refusals"`
	Invalids          int `json:"invalids"`
	RefusedFull       int `json:"refused_full"`
	Sends             int `json:"sends"`
	SendsDenied       int `json:"sends_denied"`
	AnswersNotKept    int `json:"answers_not_kept"`
	Expired           int `json:"expired"`
	ClaimWrites       int `json:"claim_writes"`
	ClaimTransactions int `json:"claim_transactions"`
	ClaimReads        int `json:"claim_reads"`
	ClaimsLost        int `json:"claims_lost"`
	ClaimsGivenUp     int `json:"claims_given_up"`
	ClaimsUnreadable  int `json:"claims_unreadable"`
	TakeOvers         int `json:"take_overs"`
}

func (c *Counts) add(v Verdict) {
	switch v {
	case Run:
		c.Runs++
	case Wait:
		c.Waits++
	case Answer:
		c.Answers++
	case Forward:
		c.Forwards++
	case Claim:
		c.Claims++
	case Unknown:
		c.Unknowns++
	case Refuse:
		c.Refusals++
	case Invalid:
		c.Invalids++
	}
}

// State is a summary of a KeyRegistry for operators.
type State struct {
	Incarnation uint64 `json:"incarnation"`
	Window      uint32 `json:"window"`
	Floor       uint32 `json:"floor"` // oldest window whose keys are all still on record
	Records     int    `json:"records"`
	RecordBytes int    `json:"record_bytes"`
	OpenClaims  int    `json:"open_claims"`
	Counts      Counts `json:"counts"`
}

// State returns a summary as of the latest call that passed a time.
func (k *KeyRegistry) State() State {
	k.init()
	return State{
		Incarnation: k.Incarnation,
		Window:      k.Window(k.now),
		Floor:       k.floor(),
		Records:     len(k.byID),
		RecordBytes: k.bytes,
		OpenClaims:  len(k.claims),
		Counts:      k.counts,
	}
}
