// Package operator speaks to the operators' listener of a host.
package operator

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const callTimeout = 2 * time.Second

// Host is what a host knows of a host.
type Host struct {
	ID               string `json:"id"`
	AvailabilityZone string `json:"availability_zone"`
	CallerAddress    string `json:"caller_address"`
	OperatorAddress  string `json:"operator_address"`
	Presence         string `json:"presence"` // what is known of its process
	Leaving          bool   `json:"leaving"`
	TableVersion     uint64 `json:"table_version"` // in force there; 0 when none
}

type hostsReply struct {
	Hosts []Host `json:"hosts"`
}

// Hosts asks the host at address for all that it knows of, itself included.
func Hosts(address string) (hosts []Host, err error) {
	defer func() { err = errors.WithMessagef(err, "host at %s", address) }()
	text, err := get(address, "/v1/hosts")
	if err != nil {
		return nil, err
	}
	var reply hostsReply
	if err := json.Unmarshal(text, &reply); err != nil {
		return nil, err
	}
	return reply.Hosts, nil
}

// TableVersion asks the host id at address which version it has in force.
func TableVersion(address, id string) (version uint64, err error) {
	hosts, err := Hosts(address)
	if err != nil {
		return 0, err
	}
	for _, h := range hosts {
		if h.ID == id {
			return h.TableVersion, nil
		}
	}
	return 0, errors.Errorf("host at %s: it does not call itself %s", address, id)
}

// State asks the host at address for its state, as JSON.
func State(address string) (state []byte, err error) {
	defer func() { err = errors.WithMessagef(err, "host at %s", address) }()
	text, err := get(address, "/v1/state")
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	if err := json.Indent(&out, bytes.TrimSpace(text), "", "  "); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func get(address, path string) ([]byte, error) {
	status, text, err := fasthttp.GetTimeout(nil, "http://"+address+path, callTimeout)
	if err != nil {
		return nil, err
	}
	if status != fasthttp.StatusOK {
		return nil, errors.Errorf("status %d for %s", status, path)
	}
	return text, nil
}
