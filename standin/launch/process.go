// Package launch starts the processes of a whole deployment on this machine:
// platform, upstreams and entry hosts. No process outlives the one that
// launched it.
package launch

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// stopTimeout is how long a process may take to end after SIGTERM in Stop.
const stopTimeout = 2 * time.Second

// Process is one process that was started.
type Process struct {
	Name string
	Pid  int

	cmd   *exec.Cmd
	ended chan struct{} // closed when it has been waited for
}

// Signal sends s to the process. A process that has ended gets none.
func (p *Process) Signal(s syscall.Signal) error {
	if p.hasEnded() {
		return nil
	}
	return p.cmd.Process.Signal(s)
}

// ExitCode returns the exit code of a process that has ended; -1 after a signal.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }

// Wait waits for the end of the process and tells whether it came in time.
func (p *Process) Wait(timeout time.Duration) bool {
	if p.hasEnded() {
		return true
	}
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-p.ended:
		return true
	case <-t.C:
		return p.hasEnded()
	}
}

func (p *Process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// ProcessGroup starts processes and ends them all. Fields are set before first use.
type ProcessGroup struct {
	Dir string // where each process's output goes, NAME.log

	mu        sync.Mutex
	processes []*Process
	starts    chan func()
}

// Start starts bin with args.
func (g *ProcessGroup) Start(name, bin string, args ...string) (p *Process, err error) {
	defer func() { err = errors.WithMessagef(err, "start %s", name) }()
	out, err := os.OpenFile(filepath.Join(g.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(bin, args...)
	cmd.Stdout = out
	cmd.Stderr = out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := g.onOneThread(cmd.Start); err != nil {
		return nil, err
	}
	p = &Process{Name: name, Pid: cmd.Process.Pid, cmd: cmd, ended: make(chan struct{})}
	g.mu.Lock()
	g.processes = append(g.processes, p)
	g.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(p.ended)
	}()
	return p, nil
}

// onOneThread runs start on a thread that lives as long as the group. The system
// ends a child when the thread that started it ends.
func (g *ProcessGroup) onOneThread(start func() error) error {
	g.mu.Lock()
	if g.starts == nil {
		g.starts = make(chan func())
		go serveStarts(g.starts)
	}
	starts := g.starts
	g.mu.Unlock()
	result := make(chan error, 1)
	starts <- func() { result <- start() }
	return <-result
}

func serveStarts(starts <-chan func()) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for start := range starts {
		start()
	}
}

// Stop ends every process, first by SIGTERM, then by SIGKILL.
func (g *ProcessGroup) Stop() {
	processes := g.all()
	for _, p := range processes {
		_ = p.Signal(syscall.SIGCONT)
		_ = p.Signal(syscall.SIGTERM)
	}
	deadline := time.Now().Add(stopTimeout)
	for _, p := range processes {
		if p.Wait(time.Until(deadline)) {
			continue
		}
		_ = p.Signal(syscall.SIGKILL)
		p.Wait(stopTimeout)
	}
}

// Kill ends every process by SIGKILL.
func (g *ProcessGroup) Kill() {
	for _, p := range g.all() {
		_ = p.Signal(syscall.SIGKILL)
		p.Wait(stopTimeout)
	}
}

// Running counts the processes that have not ended.
func (g *ProcessGroup) Running() int {
	n := 0
	for _, p := range g.all() {
		if !p.Wait(0) {
			n++
		}
	}
	return n
}

func (g *ProcessGroup) all() []*Process {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]*Process(nil), g.processes...)
}

// Sleep waits for d or the end of ctx, and tells whether d has passed.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// WaitUntil calls done every step until it is true, and returns false after timeout
// or at the end of ctx.
func WaitUntil(ctx context.Context, timeout, step time.Duration, done func() bool) bool {
	end := time.Now().Add(timeout)
	for !done() {
		if time.Now().After(end) || !Sleep(ctx, step) {
			return false
		}
	}
	return true
}
