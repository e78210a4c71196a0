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

// Deployment is a platform, upstreams and entry hosts. Fields are set before
// Start.
type Deployment struct {
	BinDir            string // directory of the programs
	RunDir            string // for settings and logs
	AvailabilityZones []string
	Hosts             int
	Services          []Service
	ListLagMs         int

	Processes       ProcessGroup
	Ports           PortAllocator
	EntryHosts      []*EntryHost // in order of their ids
	Table           Table        // as last written
	PlatformAddress string       // address of its services
	ControlAddress  string       // address of its control endpoints

	upstreamControl map[string]string // service to address
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
// hosts. It does not wait until they serve.
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

// readyTimeout bounds the start of the platform.
const readyTimeout = 5 * time.Second

func (d *Deployment) startPlatform() error {
	port, err := d.Ports.Allocate(2)
	if err != nil {
		return err
	}
	d.PlatformAddress, d.ControlAddress = Address(port), Address(port+1)
	_, err = d.Processes.Start("platform", d.program("standin"), "platform", "--listen", d.PlatformAddress,
		"--control", d.ControlAddress, "--list-lag-ms", fmt.Sprint(d.ListLagMs))
	if err != nil {
		return err
	}
	return d.waitAnswer("platform", d.ControlAddress)
}

func (d *Deployment) waitAnswer(name, control string) error {
	ready := WaitUntil(context.Background(), readyTimeout, 10*time.Millisecond, func() bool {
		return Get(control, "/control/counts", nil) == nil
	})
	if !ready {
		return errors.Errorf("%s does not answer at %s, see %s.log", name, control, name)
	}
	return nil
}

func (d *Deployment) program(name string) string { return filepath.Join(d.BinDir, name) }

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
	if _, err := d.Processes.Start("upstreams-"+s.Name, d.program("standin"), args...); err != nil {
		return err
	}
	if d.upstreamControl == nil {
		d.upstreamControl = map[string]string{}
	}
	d.upstreamControl[s.Name] = control
	d.addRows(s, port)
	return d.waitAnswer("upstreams-"+s.Name, control)
}

func (d *Deployment) addRows(s Service, port int) {
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

// WriteTable writes t to the platform and returns its version.
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

// Kill ends every process without warning.
func (d *Deployment) Kill() {
	d.Processes.Kill()
	d.Ports.Release()
}

// MakeTempDir makes a directory for one deployment's files.
func MakeTempDir() (dir string, err error) { return os.MkdirTemp("", "siskinpath-") }
