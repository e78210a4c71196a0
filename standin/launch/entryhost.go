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

// EntryHost is one siskinpathd with its addresses.
type EntryHost struct {
	ID               string
	AvailabilityZone string
	CallerAddress    string
	PeerAddress      string
	OperatorAddress  string
	Process          *Process
}

// portsPerHost is how many addresses a host listens on.
const portsPerHost = 3

const settingsText = `id = %q
availability_zone = %q
[listen]
caller = %q
peer = %q
operator = %q
[platform]
address = %q
`

// addHost starts the i-th host, from 0, and tells the platform.
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

// StartHost starts h's process, also once more after it has ended.
func (d *Deployment) StartHost(h *EntryHost) (err error) {
	file := filepath.Join(d.RunDir, h.ID+".toml")
	text := fmt.Sprintf(settingsText, h.ID, h.AvailabilityZone, h.CallerAddress, h.PeerAddress, h.OperatorAddress, d.PlatformAddress)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	h.Process, err = d.Processes.Start(h.ID, d.program("siskinpathd"), "serve", "--settings", file)
	return err
}

type hostChange struct {
	Action           string `json:"action"`
	ID               string `json:"id"`
	AvailabilityZone string `json:"availability_zone"`
	PeerAddress      string `json:"peer_address"`
	CallerAddress    string `json:"caller_address"`
	OperatorAddress  string `json:"operator_address"`
}

// ChangeHostList does what the platform's deployer does: add, leave or remove h.
func (d *Deployment) ChangeHostList(action string, h *EntryHost) error {
	return Post(d.ControlAddress, "/control/hosts", hostChange{
		Action:           action,
		ID:               h.ID,
		AvailabilityZone: h.AvailabilityZone,
		PeerAddress:      h.PeerAddress,
		CallerAddress:    h.CallerAddress,
		OperatorAddress:  h.OperatorAddress,
	}, nil)
}

// healthStep is the time between two questions for health or version.
const healthStep = 20 * time.Millisecond

// WaitHealthy waits until every host is offered to callers. It fails at once
// when one has ended.
func (d *Deployment) WaitHealthy(ctx context.Context, timeout time.Duration) error {
	var last error
	ready := WaitUntil(ctx, timeout, healthStep, func() bool {
		for _, h := range d.EntryHosts {
			if h.Process.Wait(0) {
				last = errors.Errorf("host %s ended with %d: %s", h.ID, h.Process.ExitCode(), d.lastLine(h))
				return true
			}
			if last = Get(h.OperatorAddress, "/v1/health", nil); last != nil {
				return false
			}
		}
		return true
	})
	if !ready || last != nil {
		return errors.WithMessage(last, "not every host serves")
	}
	return nil
}

// lastLine returns the last line of h's log.
func (d *Deployment) lastLine(h *EntryHost) string {
	b, err := os.ReadFile(filepath.Join(d.RunDir, h.ID+".log"))
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(b)), "\n")
	return lines[len(lines)-1]
}

// CallerAddresses returns the callers' address of every host.
func (d *Deployment) CallerAddresses() []string {
	list := make([]string, 0, len(d.EntryHosts))
	for _, h := range d.EntryHosts {
		list = append(list, h.CallerAddress)
	}
	return list
}

type knownHosts struct {
	Hosts []knownHost `json:"hosts"`
}

type knownHost struct {
	ID           string `json:"id"`
	TableVersion uint64 `json:"table_version"`
}

// TableVersion asks h which version of the table it has in force.
func (h *EntryHost) TableVersion() (version uint64, err error) {
	var known knownHosts
	if err := Get(h.OperatorAddress, "/v1/hosts", &known); err != nil {
		return 0, err
	}
	for _, k := range known.Hosts {
		if k.ID == h.ID {
			return k.TableVersion, nil
		}
	}
	return 0, errors.Errorf("host %s does not list itself", h.ID)
}

// WaitInForce waits until each of hosts has version or a later one in force,
// and returns how long that took.
func WaitInForce(ctx context.Context, hosts []*EntryHost, version uint64, timeout time.Duration) (time.Duration, bool) {
	start := time.Now()
	done := WaitUntil(ctx, timeout, healthStep, func() bool {
		for _, h := range hosts {
			if v, err := h.TableVersion(); err != nil || v < version {
				return false
			}
		}
		return true
	})
	return time.Since(start), done
}
