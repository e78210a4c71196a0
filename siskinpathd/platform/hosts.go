package platform

import (
	"context"
	"net/netip"

	"github.com/valyala/fasthttp"

	"siskinpath/core/member"
)

// States of a host in the list.
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

// Hosts reads the list of live and leaving hosts. The list lags.
func (c *Client) Hosts(ctx context.Context) (hosts []member.ListedHost, err error) {
	var reply hostsReply
	err = c.read(ctx, fasthttp.MethodGet, pathHosts, nil, &reply)
	if err != nil {
		return nil, err
	}
	seen := map[string]bool{}
	for _, row := range reply.Hosts {
		if what := row.fault(); what != "" {
			return nil, c.bad(pathHosts, garbage("host %q: %s", row.ID, what))
		}
		if seen[row.ID] {
			return nil, c.bad(pathHosts, garbage("host %q is listed twice", row.ID))
		}
		seen[row.ID] = true
		hosts = append(hosts, row.host())
	}
	return hosts, nil
}

// fault says what is wrong with the row, or "".
func (r hostRow) fault() string {
	if r.ID == "" {
		return "no id"
	}
	if r.State != stateLive && r.State != stateLeaving {
		return "unknown state " + excerpt([]byte(r.State))
	}
	for _, a := range []string{r.PeerAddress, r.CallerAddress, r.OperatorAddress} {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return "no address: " + excerpt([]byte(a))
		}
	}
	return ""
}

func (r hostRow) host() member.ListedHost {
	return member.ListedHost{
		ID:               r.ID,
		AvailabilityZone: r.AvailabilityZone,
		PeerAddress:      r.PeerAddress,
		CallerAddress:    r.CallerAddress,
		OperatorAddress:  r.OperatorAddress,
		Leaving:          r.State == stateLeaving,
	}
}
