package platform

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Outage is a mode in which the platform does not serve requests.
type Outage string

// Outages.
const (
	OutageNone   Outage = "none"   // requests are served
	OutageRefuse Outage = "refuse" // connections are refused, open ones are closed
	OutageSilent Outage = "silent" // requests get no reply
	OutageError  Outage = "error"  // requests get status 503
)

// Faults configures the faults that the platform simulates.
type Faults struct {
	Outage      Outage  `json:"outage"`
	SlowMs      int64   `json:"slow_ms"`      // delay of every request to the services
	LoseReplies float64 `json:"lose_replies"` // fraction of writes that are applied but get no reply
	ListLagMs   int64   `json:"list_lag_ms"`  // age of the host list that readers see
}

// Validate checks the ranges and sets an empty Outage to OutageNone.
func (f *Faults) Validate() error {
	switch f.Outage {
	case "":
		f.Outage = OutageNone
	case OutageNone, OutageRefuse, OutageSilent, OutageError:
	default:
		return errors.Errorf("outage %q: want none, refuse, silent or error", f.Outage)
	}
	if f.SlowMs < 0 || f.ListLagMs < 0 {
		return errors.New("slow_ms and list_lag_ms: want 0 or more")
	}
	if f.LoseReplies < 0 || f.LoseReplies > 1 {
		return errors.New("lose_replies: want 0 to 1")
	}
	return nil
}

// faultState holds the faults in force. changed is closed and replaced when they
// change.
type faultState struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{}
	rand    *rand.Rand
}

func newFaultState(f Faults, seed uint64) *faultState {
	return &faultState{faults: f, changed: make(chan struct{}), rand: rand.New(rand.NewPCG(seed, 0))}
}

// get returns the faults in force and a channel that is closed when they change.
func (s *faultState) get() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.changed
}

func (s *faultState) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
}

// loseReply decides at random whether the reply to a write is lost.
func (s *faultState) loseReply() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.Float64() < s.faults.LoseReplies
}

// delay waits for SlowMs.
func (f Faults) delay() {
	if f.SlowMs > 0 {
		time.Sleep(time.Duration(f.SlowMs) * time.Millisecond)
	}
}
