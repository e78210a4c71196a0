package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	hostHeader = "ficu95.example"
	healthPath = "/health"
	heartbeat  = 1500 * time.Millisecond
	memoryMB   = 219
	maxFiles   = 3075
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// fleet is a small deployment: the store, upstreams, and hosts as processes.
type fleet struct {
	binary    string
	trouble   bool
	folder    string
	store     *store
	upstreams []*upstream
	hosts     []*host

	ending sync.Once

	mu       sync.Mutex
	record   *os.File
	started  time.Time
	arrivals map[string][]time.Time // at upstreams, by id of the request
	runs     map[string]int
}

// host is an entry host.
type host struct {
	id, zone                 string
	caller, ready, directory string
	settings                 string // path
	command                  *exec.Cmd
	done                     chan struct{}
}

func newFleet(binary, recordPath string, trouble bool) *fleet {
	f := &fleet{binary: binary, trouble: trouble, started: time.Now(), arrivals: map[string][]time.Time{}, runs: map[string]int{}}
	var err error
	if f.record, err = os.Create(recordPath); err != nil {
		f.cannotRun(err)
	}
	if f.folder, err = os.MkdirTemp("", "siskinpath-case-"); err != nil {
		f.cannotRun(err)
	}
	if f.store, err = startStore(); err != nil {
		f.cannotRun(err)
	}
	f.recordf("trouble=%v", trouble)
	return f
}

func (f *fleet) recordf(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.record != nil {
		fmt.Fprintf(f.record, "%9.3f  %s\n", time.Since(f.started).Seconds(), fmt.Sprintf(format, args...))
	}
}

func (f *fleet) arrived(id, upstream string) {
	f.recordf("request %s reaches upstream %s", id, upstream)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrivals[id] = append(f.arrivals[id], time.Now())
}

func (f *fleet) ran(id, upstream string) {
	f.recordf("request %s has run at upstream %s", id, upstream)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[id]++
}

func (f *fleet) dropped(id, upstream string) {
	f.recordf("request %s is dropped by upstream %s, as its connection has ended", id, upstream)
}

func (f *fleet) arrivalsOf(id string) []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]time.Time(nil), f.arrivals[id]...)
}

// exit ends all processes of the fleet and this one.
func (f *fleet) exit(code int) {
	f.ending.Do(func() {
		for _, h := range f.hosts {
			if h.command != nil && h.command.Process != nil {
				_ = h.command.Process.Kill()
				<-h.done
			}
		}
	})
	if f.folder != "" {
		_ = os.RemoveAll(f.folder)
	}
	os.Exit(code)
}

func (f *fleet) cannotRun(err error) {
	fmt.Println("the case could not run:", err)
	f.recordf("the case could not run: %v", err)
	f.exit(exitNotRun)
}

// Ports of hosts are below those that the kernel gives to outgoing connections, so that none is
// taken between the look and the start of a host.
const firstPort, ports = 15_000, 15_000

// freePorts returns addresses on which nothing listens.
func freePorts(n int) (addresses []string, err error) {
	var open []net.Listener
	defer func() {
		for _, ln := range open {
			_ = ln.Close()
		}
	}()
	for tries := 0; len(addresses) < n; tries++ {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports)))
		if err != nil {
			if tries > 100+10*n {
				return nil, err
			}
			continue
		}
		open = append(open, ln)
		addresses = append(addresses, ln.Addr().String())
	}
	return addresses, nil
}

// startHosts starts hosts, and waits until all are ready.
func (f *fleet) startHosts(n int) {
	ports, err := freePorts(6 * n)
	if err != nil {
		f.cannotRun(err)
	}
	for i := range n {
		p := ports[6*i : 6*i+6]
		h := &host{id: fmt.Sprintf("front-%d", i+1), zone: zones[i%len(zones)], caller: p[0], ready: p[1], directory: p[2]}
		path := filepath.Join(f.folder, h.id+".toml")
		if err := os.WriteFile(path, []byte(f.settings(h, p)), 0o600); err != nil {
			f.cannotRun(err)
		}
		h.settings = path
		f.launch(h)
		f.hosts = append(f.hosts, h)
		f.recordf("host %s started, callers at %s", h.id, h.caller)
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, h := range f.hosts {
		for !isReady(h) {
			if time.Now().After(deadline) {
				f.cannotRun(fmt.Errorf("host %s is not ready", h.id))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.recordf("all hosts are ready")
}

// launch starts the process of a host with the command of the deploy file.
func (f *fleet) launch(h *host) {
	h.command = exec.Command(f.binary, "serve")
	h.command.Env = append(os.Environ(), "SISKINPATH_NODE_FILE="+h.settings)
	log, err := os.OpenFile(filepath.Join(f.folder, h.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		f.cannotRun(err)
	}
	h.command.Stdout, h.command.Stderr = log, log
	if err := h.command.Start(); err != nil {
		f.cannotRun(err)
	}
	_ = log.Close()
	done := make(chan struct{})
	h.done = done
	go func(command *exec.Cmd) {
		err := command.Wait()
		f.recordf("host %s has ended: %v", h.id, err)
		close(done)
	}(h.command)
}

// recordStop copies what the host itself says of its stop from its log to the record.
func (f *fleet) recordStop(h *host) {
	b, err := os.ReadFile(filepath.Join(f.folder, h.id+".log"))
	if err != nil {
		f.cannotRun(err)
	}
	for line := range strings.Lines(string(b)) {
		if strings.Contains(line, "\"msg\":\"stopping with requests in flight\"") {
			f.recordf("log of %s: %s", h.id, strings.TrimSpace(line))
		}
	}
}

// restart starts a host again whose process has ended, and waits until it is ready. The settings
// then no longer say that the whole fleet starts.
func (f *fleet) restart(h *host) {
	b, err := os.ReadFile(h.settings)
	if err != nil {
		f.cannotRun(err)
	}
	if err := os.WriteFile(h.settings, bytes.Replace(b, []byte("first_start = true"), []byte("first_start = false"), 1), 0o600); err != nil {
		f.cannotRun(err)
	}
	f.launch(h)
	f.recordf("host %s started again", h.id)
	for deadline := time.Now().Add(10 * time.Second); !isReady(h); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.cannotRun(fmt.Errorf("host %s is not ready", h.id))
		}
	}
}

func isReady(h *host) bool {
	resp, err := http.Get("http://" + h.ready + "/v1/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

var zones = []string{"caerdydd", "aberystwyth", "wrecsam"}

// settings returns deploy/entry.toml.in with the values of a small deployment.
func (f *fleet) settings(h *host, ports []string) string {
	return fmt.Sprintf(`id = %q
availability_zone = %q
first_start = true
memory_mb = %d
max_descriptors = %d
cores = 0.24
link_mbps = 750.0

[listen]
caller = %q
ready = %q
directory = %q
metrics = %q
peer = %q
forward = %q

[platform]
address = %q
heartbeat_ms = %d

[budgets]
probes_per_second = 60
repeat_ratio = 0.2
repeat_slack = 75
address_ttl_ms = 1500

[bounds]
configuration_ms = 2000
leaving_ms = 2000
revocation_ms = 0

[quotas]
window_ms = 0
overage = 0
slack = 0

[warm_up]
overage = 0
slack = 0

[shutdown]
grace_ms = 6000

[log]
level = "info"
lines_per_second = 50
`, h.id, h.zone, memoryMB, maxFiles, ports[0], ports[1], ports[2], ports[3], ports[4], ports[5], f.store.address, heartbeat.Milliseconds())
}

// route is a route of the operators' configuration.
type route struct {
	name, prefix, kind, service                string
	timeoutMs, targetMs, priority, maxAttempts int
}

// publish writes a version of the configuration. Its return is the confirmation.
func (f *fleet) publish(version int, services []string, routes []route) {
	var resources []any
	for _, r := range routes {
		resources = append(resources, map[string]any{"entry_kind": "routes", "metadata": map[string]any{"name": r.name}, "spec": map[string]any{
			"host": hostHeader, "prefix": r.prefix, "kind": r.kind, "timeout_ms": r.timeoutMs, "target_latency_ms": r.targetMs, "priority": r.priority,
			"service": r.service, "max_attempts": r.maxAttempts,
		}})
	}
	for _, s := range services {
		resources = append(resources, map[string]any{"entry_kind": "services", "metadata": map[string]any{"name": s}, "spec": map[string]any{
			"health_path": healthPath, "max_conns": 300, "protocol": "h1", "tls": false,
		}})
	}
	resources = append(resources, map[string]any{"entry_kind": "limits", "metadata": map[string]any{}, "spec": map[string]any{
		"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
	}})
	f.store.put("op", "config", map[string]any{"version": version, "resources": resources})
	f.recordf("configuration %d with %d routes is confirmed", version, len(routes))
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
