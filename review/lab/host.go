package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// bounds are the figures of a deployment that its entry hosts get, as the settings template
// has them.
type bounds struct {
	configMs, drainMs, revokeMs int
	quotaWindowMs               int
	quotaOverage, quotaSlack    float64
	graceMs                     int
}

// entryHost is an entry host: a process of the project's own program.
type entryHost struct {
	id, zone, front, ready, directory, metrics string

	dir, program, rest string           // rest is the settings after first_start
	command            func() *exec.Cmd // nil for the program itself
	cmd                *exec.Cmd
	ended              chan struct{}
}

// Ports of entry hosts lie below those that the system gives to connections. Cases that run at
// the same time begin at different ones.
const (
	firstPort    = 12000
	lastPort     = 30000
	portsOfACase = 600
)

var nextPort = firstPort + os.Getpid()%((lastPort-firstPort)/portsOfACase)*portsOfACase

// freeAddress returns a loopback address that nobody listens on, another one at each call.
func freeAddress() (string, error) {
	for range lastPort - firstPort {
		if nextPort++; nextPort > lastPort {
			nextPort = firstPort
		}
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		ln, err := net.Listen("tcp", address)
		if err == nil {
			return address, ln.Close()
		}
	}
	return "", errors.New("no free port")
}

// newEntryHost chooses free ports for a host.
func newEntryHost(id, zone, program, dir, storeAddress string, b bounds) (*entryHost, error) {
	h := &entryHost{id: id, zone: zone, program: program, dir: dir}
	var addresses [6]string
	for i := range addresses {
		var err error
		if addresses[i], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	h.front, h.ready, h.directory, h.metrics = addresses[0], addresses[1], addresses[2], addresses[3]
	h.rest = fmt.Sprintf(`memory_mb = 241
cores = 0.272
link_mbps = 830.0

[listen]
caller = %q
ready = %q
directory = %q
metrics = %q
peer = %q
forward = %q

[platform]
address = %q

[budgets]
probes_per_second = 60
repeat_ratio = 0.2
repeat_slack = 76
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
`, h.front, h.ready, h.directory, h.metrics, addresses[4], addresses[5], storeAddress, b.configMs, b.drainMs, b.revokeMs, b.quotaWindowMs,
		b.quotaOverage, b.quotaSlack, b.graceMs)
	return h, nil
}

// start starts the process. first is set when the whole system starts for the first time.
func (h *entryHost) start(first bool) error {
	path := filepath.Join(h.dir, h.id+".toml")
	settings := fmt.Sprintf("id = %q\navailability_zone = %q\nfirst_start = %v\n", h.id, h.zone, first) + h.rest
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(h.dir, h.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	h.cmd = exec.Command(h.program, "serve")
	if h.command != nil {
		h.cmd = h.command()
	}
	h.cmd.Env = []string{"SISKINPATH_NODE_FILE=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + h.dir}
	h.cmd.Stdout, h.cmd.Stderr = log, log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	cmd, ended := h.cmd, make(chan struct{})
	h.ended = ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// kill ends the process with SIGKILL and waits for its end.
func (h *entryHost) kill() {
	if h.cmd == nil || h.cmd.Process == nil {
		return
	}
	_ = h.cmd.Process.Signal(syscall.SIGKILL)
	<-h.ended
}

// isReady asks the host whether callers may use it.
func (h *entryHost) isReady() bool {
	c := &http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + h.ready + "/v1/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func waitReady(hosts []*entryHost, limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, h := range hosts {
		for !h.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("host %s is not ready after %v", h.id, limit)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// logLines returns the lines of a host's log that contain a text.
func (h *entryHost) logLines(text string) (lines []string) {
	b, _ := os.ReadFile(filepath.Join(h.dir, h.id+".log"))
	for line := range strings.SplitSeq(string(b), "\n") {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}
