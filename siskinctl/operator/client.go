// Package operator is a client for the HTTP server that each host runs for operators.
package operator

import (
	"bytes"
	"encoding/json"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"siskinpath/core/http1"
)

const (
	callTimeout   = 2 * time.Second
	maxReplyBytes = 64 << 20
)

var client = fasthttp.Client{Dial: dial, MaxResponseBodySize: maxReplyBytes}

func dial(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, callTimeout)
	if err != nil {
		return nil, err
	}
	return http1.NewConn(conn), nil
}

// Host is the status of a host, as reported by the queried host.
type Host struct {
	ID               string `json:"id"`
	AvailabilityZone string `json:"availability_zone"`
	CallerAddress    string `json:"caller_address"`
	OperatorAddress  string `json:"operator_address"`
	Presence         string `json:"presence"` // whether the host's process is alive, as far as known
	Leaving          bool   `json:"leaving"`
	TableVersion     uint64 `json:"table_version"` // version in force on the host; 0 if none
}

type hostsReply struct {
	Hosts []Host `json:"hosts"`
}

// Hosts returns all hosts that the host at address knows, including itself.
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

// TableVersion returns the table version that host id, which listens at address, has
// in force. It fails if the reply has no entry for id.
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
	return 0, errors.Errorf("host at %s: its host list doesn't contain %s", address, id)
}

// State returns the state of the host's process at address as indented JSON.
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
	status, text, err := client.GetTimeout(nil, "http://"+address+path, callTimeout)
	if err != nil {
		return nil, err
	}
	if status != fasthttp.StatusOK {
		return nil, errors.Errorf("status %d for %s", status, path)
	}
	return text, nil
}
