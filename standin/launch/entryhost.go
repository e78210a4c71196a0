package launch

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// EntryHost is a siskinpathd process with its addresses.
type EntryHost struct {
	ID               string
	AvailabilityZone string
	CallerAddress    string
	PeerAddress      string
	OperatorAddress  string
	Process          *Process
}

// portsPerHost is the number of ports that a host listens on: for callers, peers
// and operators.
const portsPerHost = 3

const settingsTemplate = `id = %q
availability_zone = %q
[listen]
caller = %q
peer = %q
operator = %q
[platform]
address = %q
`

// addHost starts the host with index i, from 0, and adds it to the platform's list.
func (d *Deployment) addHost(i int) error {
	port, err := d.Ports.Allocate(portsPerHost)
	if err != nil {
		return err
	}
	h := &EntryHost{
		ID:               fmt.Sprintf("gh-%d", i+1),
		AvailabilityZone: d.AvailabilityZones[i%len(d.AvailabilityZones)],
		CallerAddress:    Address(port),
		PeerAddress:      Address(port + 1),
		OperatorAddress:  Address(port + 2),
	}
	if err := d.StartHost(h); err != nil {
		return err
	}
	d.EntryHosts = append(d.EntryHosts, h)
	return d.ChangeHostList("add", h)
}

// StartHost writes the settings file of h and starts its process. It also restarts
// a host whose process has exited.
func (d *Deployment) StartHost(h *EntryHost) (err error) {
	file := filepath.Join(d.RunDir, h.ID+".toml")
	text := fmt.Sprintf(settingsTemplate, h.ID, h.AvailabilityZone, h.CallerAddress, h.PeerAddress, h.OperatorAddress, d.PlatformAddress)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	h.Process, err = d.Processes.Start(h.ID, d.programPath("siskinpathd"), "serve", "--settings", file)
	return err
}

type hostListChange struct {
	Action           string `json:"action"`
	ID               string `json:"id"`
	AvailabilityZone string `json:"availability_zone"`
	PeerAddress      string `json:"peer_address"`
	CallerAddress    string `json:"caller_address"`
	OperatorAddress  string `json:"operator_address"`
}

// ChangeHostList changes the platform's host list as its deployer would. The
// action is add, leave or remove.
func (d *Deployment) ChangeHostList(action string, h *EntryHost) error {
	return Post(d.ControlAddress, "/control/hosts", hostListChange{
		Action:           action,
		ID:               h.ID,
		AvailabilityZone: h.AvailabilityZone,
		PeerAddress:      h.PeerAddress,
		CallerAddress:    h.CallerAddress,
		OperatorAddress:  h.OperatorAddress,
	}, nil)
}

// pollInterval is the time between two polls of a host's health or table version.
const pollInterval = 20 * time.Millisecond

// WaitHealthy waits until the health check of every host succeeds, which means that
// the hosts are offered to callers. It fails at once when a host's process has
// exited.
func (d *Deployment) WaitHealthy(ctx context.Context, timeout time.Duration) error {
	var last error
	ready := WaitUntil(ctx, timeout, pollInterval, func() bool {
		for _, h := range d.EntryHosts {
			if h.Process.Wait(0) {
				last = errors.Errorf("host %s exited with code %d: %s", h.ID, h.Process.ExitCode(), d.lastLogLine(h))
				return true
			}
			if last = Get(h.OperatorAddress, "/v1/health", nil); last != nil {
				return false
			}
		}
		return true
	})
	if !ready || last != nil {
		return errors.WithMessage(last, "not every host is healthy")
	}
	return nil
}

// lastLogLine returns the last line of h's log.
func (d *Deployment) lastLogLine(h *EntryHost) string {
	b, err := os.ReadFile(filepath.Join(d.RunDir, h.ID+".log"))
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(b)), "\n")
	return lines[len(lines)-1]
}

// CallerAddresses returns the address for callers of every host.
func (d *Deployment) CallerAddresses() []string {
	list := make([]string, 0, len(d.EntryHosts))
	for _, h := range d.EntryHosts {
		list = append(list, h.CallerAddress)
	}
	return list
}

type hostsReply struct {
	Hosts []hostReply `json:"hosts"`
}

type hostReply struct {
	ID           string `json:"id"`
	TableVersion uint64 `json:"table_version"`
}

// TableVersion asks h which version of the table it has in force.
func (h *EntryHost) TableVersion() (version uint64, err error) {
	var reply hostsReply
	if err := Get(h.OperatorAddress, "/v1/hosts", &reply); err != nil {
		return 0, err
	}
	for _, r := range reply.Hosts {
		if r.ID == h.ID {
			return r.TableVersion, nil
		}
	}
	return 0, errors.Errorf("host %s is missing from its own host list", h.ID)
}

// WaitInForce waits until each of hosts has version or a later one in force. It
// returns the time waited, and false when timeout or the end of ctx came first.
func WaitInForce(ctx context.Context, hosts []*EntryHost, version uint64, timeout time.Duration) (time.Duration, bool) {
	start := time.Now()
	done := WaitUntil(ctx, timeout, pollInterval, func() bool {
		for _, h := range hosts {
			if v, err := h.TableVersion(); err != nil || v < version {
				return false
			}
		}
		return true
	})
	return time.Since(start), done
}
