package platform

import (
	"context"
	"encoding/json"
	"net/netip"

	"github.com/valyala/fasthttp"

	"siskinpath/core/membership"
)

// Values of the state of a host in the list.
const (
	stateLive    = "live"
	stateLeaving = "leaving"
)

type hostsReply struct {
	Hosts []hostRow `json:"hosts"`
}

type hostRow struct {
	ID               string `json:"id"`
	AvailabilityZone string `json:"availability_zone"`
	State            string `json:"state"`
	PeerAddress      string `json:"peer_address"`
	CallerAddress    string `json:"caller_address"`
	OperatorAddress  string `json:"operator_address"`
}

// Hosts reads the list of live and leaving hosts, which may be out of date. Invalid
// entries are left out and counted, so that one of them does not hide the other
// hosts.
func (c *Client) Hosts(ctx context.Context) (hosts []membership.ListedHost, err error) {
	err = c.read(ctx, fasthttp.MethodGet, pathHosts, nil, func(reply []byte) error {
		all, leftOut, err := decodeHosts(reply)
		hosts = all
		c.Counters.GetOrCreateCounter(`platform_hosts_left_out_total`).Add(leftOut)
		return err
	})
	return hosts, err
}

func decodeHosts(reply []byte) (hosts []membership.ListedHost, leftOut int, err error) {
	var r hostsReply
	if err := json.Unmarshal(reply, &r); err != nil {
		return nil, 0, &Error{Kind: InvalidReply, Cause: err}
	}
	if r.Hosts == nil {
		return nil, 0, invalidReply("reply has no list of hosts: %s", excerpt(reply))
	}
	seen := map[string]bool{}
	for _, row := range r.Hosts {
		if !row.valid() || seen[row.ID] {
			leftOut++
			continue
		}
		seen[row.ID] = true
		hosts = append(hosts, row.host())
	}
	return hosts, leftOut, nil
}

// valid reports whether the row has an ID, a known state and valid addresses.
func (r hostRow) valid() bool {
	if r.ID == "" || r.State != stateLive && r.State != stateLeaving {
		return false
	}
	for _, a := range []string{r.PeerAddress, r.CallerAddress, r.OperatorAddress} {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return false
		}
	}
	return true
}

func (r hostRow) host() membership.ListedHost {
	return membership.ListedHost{
		ID:               r.ID,
		AvailabilityZone: r.AvailabilityZone,
		PeerAddress:      r.PeerAddress,
		CallerAddress:    r.CallerAddress,
		OperatorAddress:  r.OperatorAddress,
		Leaving:          r.State == stateLeaving,
	}
}
