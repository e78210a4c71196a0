package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// settingsOf are the parts of the settings that cases set, with the values of a small
// installation as the platform fills them in.
type settings struct {
	memoryMB                                 int
	configurationMs, leavingMs, revocationMs int
	windowMs                                 int
	overage, slack                           float64
	graceMs, probes                          int
	repeatSlack                              int
}

func nkabom() settings {
	return settings{memoryMB: 219, configurationMs: 2000, leavingMs: 2000, graceMs: 6000, probes: 60, repeatSlack: 75}
}

// host is a process of siskinpath-entry on an address of its own.
type host struct {
	id, zone  string
	set       settings
	storeAddr string
	ip        string
	caller    string
	ready     string
	directory string
	peer      string
	forward   string
	metrics   string
	// Where other hosts reach it, if a link stands before it.
	peerLink, forwardLink string

	file    string
	logPath string

	cmd  *exec.Cmd
	done chan struct{}
}

var (
	hostsMu  sync.Mutex
	allHosts []*host
	tempDir  string
)

func endHosts() {
	hostsMu.Lock()
	defer hostsMu.Unlock()
	for _, h := range allHosts {
		if h.cmd != nil && h.cmd.Process != nil {
			h.cmd.Process.Signal(syscall.SIGCONT)
			h.cmd.Process.Kill()
			<-h.done
		}
	}
	if tempDir != "" && os.Getenv("KEEP") == "" {
		os.RemoveAll(tempDir)
	}
}

// listen opens a listener on a free loopback port.
func listen() net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	return ln
}

// freePorts returns addresses with free ports below those that the system gives to outgoing
// connections.
func freePorts(n int) (addrs []string) {
	for len(addrs) < n {
		address := fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(18000))
		ln, err := net.Listen("tcp", address)
		if err != nil || slices.Contains(usedPorts, address) {
			continue
		}
		ln.Close()
		usedPorts = append(usedPorts, address)
		addrs = append(addrs, address)
	}
	return addrs
}

var usedPorts []string

func newHost(n int, zone, storeAddr string, set settings) *host {
	if tempDir == "" {
		tempDir, _ = os.MkdirTemp("", "siskinpath-review")
	}
	h := &host{id: fmt.Sprintf("front-%s-%d", zone, n), zone: zone, set: set, storeAddr: storeAddr}
	h.takePorts()
	h.file = filepath.Join(tempDir, h.id+".toml")
	h.logPath = filepath.Join(tempDir, h.id+".log")
	return h
}

func (h *host) takePorts() {
	a := freePorts(6)
	h.caller, h.ready, h.directory, h.peer, h.forward, h.metrics = a[0], a[1], a[2], a[3], a[4], a[5]
}

// hasEnded reports whether the process has ended.
func (h *host) hasEnded() bool {
	select {
	case <-h.done:
		return true
	default:
		return false
	}
}

func (h *host) writeSettings(first bool) {
	text := fmt.Sprintf(`id = %q
availability_zone = %q
first_start = %v
memory_mb = %d
cores = 0.272
link_mbps = 830.0

[listen]
caller = %q
ready = %q
directory = %q
metrics = %q
peer = %q
forward = %q
%s
[platform]
address = %q

[budgets]
probes_per_second = %d
repeat_ratio = 0.2
repeat_slack = %d
address_ttl_ms = 1500

[bounds]
configuration_ms = %d
leaving_ms = %d
revocation_ms = %d

[quotas]
window_ms = %d
overage = %v
slack = %v

[warm_up]
overage = 0
slack = 0

[shutdown]
grace_ms = %d

[log]
level = "info"
lines_per_second = 50
`, h.id, h.zone, first, h.set.memoryMB, h.caller, h.ready, h.directory, h.metrics, h.peer, h.forward, h.links(), h.storeAddr, h.set.probes, h.set.repeatSlack,
		h.set.configurationMs, h.set.leavingMs, h.set.revocationMs, h.set.windowMs, h.set.overage, h.set.slack, h.set.graceMs)
	if err := os.WriteFile(h.file, []byte(text), 0o644); err != nil {
		cannotRun("settings: %v", err)
	}
}

// links returns the settings for links before the ports for other hosts, if there are any.
func (h *host) links() string {
	if h.peerLink == "" {
		return ""
	}
	return fmt.Sprintf("peer_advertised = %q\nforward_advertised = %q\n", h.peerLink, h.forwardLink)
}

// start starts the process with the command of the deploy file.
func (h *host) start(first bool) {
	h.writeSettings(first)
	log, err := os.OpenFile(h.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		cannotRun("log: %v", err)
	}
	cmd := exec.Command("target/siskinpath-entry", "serve")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SISKINPATH_NODE_FILE=" + h.file}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		cannotRun("start of %s: %v", h.id, err)
	}
	log.Close()
	done := make(chan struct{})
	hostsMu.Lock()
	h.cmd, h.done = cmd, done
	known := false
	for _, x := range allHosts {
		known = known || x == h
	}
	if !known {
		allHosts = append(allHosts, h)
	}
	hostsMu.Unlock()
	go func() {
		err := cmd.Wait()
		rec.line("host %s: process %d has ended: %v", h.id, cmd.Process.Pid, err)
		close(done)
	}()
	rec.line("host %s: process %d started, callers at %s", h.id, cmd.Process.Pid, h.caller)
}

func (h *host) signal(s syscall.Signal) {
	rec.line("host %s: signal %v", h.id, s)
	h.cmd.Process.Signal(s)
}

// kill ends the process at once and waits for its end.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	<-h.done
}

var probeClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (h *host) isReady() bool {
	resp, err := probeClient.Get("http://" + h.ready + "/v1/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == 200
}

// waitReady waits until all hosts are ready.
func waitReady(span time.Duration, hosts ...*host) {
	end := time.Now().Add(span)
	for _, h := range hosts {
		for !h.isReady() {
			if time.Now().After(end) {
				cannotRun("host %s is not ready", h.id)
			}
			if h.hasEnded() { // another program has taken a port
				h.takePorts()
				h.start(true)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}
