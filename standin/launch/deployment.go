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

// Deployment consists of the processes of a platform, upstreams and entry hosts.
// The fields up to ListLagMs must be set before Start, which sets the others.
type Deployment struct {
	BinDir            string // directory of the executables
	RunDir            string // directory for settings and logs
	AvailabilityZones []string
	Hosts             int
	Services          []Service
	ListLagMs         int

	Processes       ProcessGroup
	Ports           PortAllocator
	EntryHosts      []*EntryHost // in the order of their ids
	Table           Table        // as last written by WriteTable
	PlatformAddress string       // address of the platform's services
	ControlAddress  string       // address of the platform's control endpoints

	upstreamControl map[string]string // address of the control endpoints of each service's upstreams
}

// GhanaServices returns the services of the deployment in Ghana.
func GhanaServices() []Service {
	return []Service{
		{
			Name: "booking", Upstreams: 25, Slots: 4, Connections: 300, ServiceMs: 20,
			ProbesPerSecond: 10, HedgePercent: 2, MaxDeadlineMs: 10000,
		},
		{
			Name: "payments", Upstreams: 6, Slots: 4, Connections: 300, ServiceMs: 25,
			ProbesPerSecond: 3, HedgePercent: 0, MaxDeadlineMs: 10000,
		},
	}
}

// GhanaZones returns the availability zones of the deployment in Ghana.
func GhanaZones() []string { return []string{"gh-mid-a", "gh-mid-b", "gh-mid-c"} }

// Start starts the platform and the upstreams, writes the table, and starts the
// hosts. It does not wait until the hosts are ready, see WaitReady.
func (d *Deployment) Start() (err error) {
	d.Processes.Dir = d.RunDir
	if err := d.startPlatform(); err != nil {
		return err
	}
	for _, s := range d.Services {
		if err := d.startUpstreams(s); err != nil {
			return err
		}
	}
	d.Table.Services = d.Services
	if _, err := d.WriteTable(d.Table); err != nil {
		return err
	}
	for i := range d.Hosts {
		if err := d.addHost(i); err != nil {
			return err
		}
	}
	return nil
}

// startTimeout is the time within which the platform and the upstreams must
// answer on their control endpoints.
const startTimeout = 5 * time.Second

func (d *Deployment) startPlatform() error {
	port, err := d.Ports.Allocate(2)
	if err != nil {
		return err
	}
	d.PlatformAddress, d.ControlAddress = Address(port), Address(port+1)
	_, err = d.Processes.Start("platform", d.programPath("standin"), "platform", "--listen", d.PlatformAddress,
		"--control", d.ControlAddress, "--list-lag-ms", fmt.Sprint(d.ListLagMs))
	if err != nil {
		return err
	}
	return d.waitControl("platform", d.ControlAddress)
}

// waitControl waits until the process called name answers on its control endpoint.
func (d *Deployment) waitControl(name, control string) error {
	ready := WaitUntil(context.Background(), startTimeout, 10*time.Millisecond, func() bool {
		return Get(control, "/control/counts", nil) == nil
	})
	if !ready {
		return errors.Errorf("%s does not answer at %s within %s, see %s.log", name, control, startTimeout, name)
	}
	return nil
}

func (d *Deployment) programPath(name string) string { return filepath.Join(d.BinDir, name) }

func (d *Deployment) startUpstreams(s Service) error {
	port, err := d.Ports.Allocate(s.Upstreams + 1)
	if err != nil {
		return err
	}
	control := Address(port + s.Upstreams)
	args := []string{
		"upstream", "--listen", Address(port), "--control", control, "--name", s.Name,
		"--count", fmt.Sprint(s.Upstreams), "--slots", fmt.Sprint(s.Slots),
		"--connections", fmt.Sprint(s.Connections), "--service-ms", fmt.Sprint(s.ServiceMs),
		"--availability-zone", strings.Join(d.AvailabilityZones, ","),
	}
	if s.Fixed {
		args = append(args, "--fixed")
	}
	if _, err := d.Processes.Start("upstreams-"+s.Name, d.programPath("standin"), args...); err != nil {
		return err
	}
	if d.upstreamControl == nil {
		d.upstreamControl = map[string]string{}
	}
	d.upstreamControl[s.Name] = control
	d.addUpstreamRows(s, port)
	return d.waitControl("upstreams-"+s.Name, control)
}

func (d *Deployment) addUpstreamRows(s Service, port int) {
	for i := range s.Upstreams {
		d.Table.Upstreams = append(d.Table.Upstreams, UpstreamRow{
			Service:          s.Name,
			Name:             s.UpstreamName(i),
			Address:          Address(port + i),
			AvailabilityZone: d.AvailabilityZones[i%len(d.AvailabilityZones)],
			Weight:           100,
			Slots:            s.Slots,
			Connections:      s.Connections,
		})
	}
}

// WriteTable writes t to the platform and returns the new version of the table.
func (d *Deployment) WriteTable(t Table) (version uint64, err error) {
	from, err := TableVersion(d.PlatformAddress)
	if err != nil {
		return 0, err
	}
	version, err = WriteTable(d.PlatformAddress, from, t.CSV())
	if err == nil {
		d.Table = t
	}
	return version, err
}

// Kill kills every process and releases the ports.
func (d *Deployment) Kill() {
	d.Processes.Kill()
	d.Ports.Release()
}

// MakeTempDir creates a temporary directory for one deployment's files.
func MakeTempDir() (dir string, err error) { return os.MkdirTemp("", "siskinpath-") }
