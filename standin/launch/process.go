// Package launch starts the processes of a whole deployment on this machine:
// platform, upstreams and entry hosts. The processes are killed when the process
// that launched them exits.
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

// stopTimeout is how long Stop waits for processes to exit after SIGTERM.
const stopTimeout = 2 * time.Second

// Process is a child process.
type Process struct {
	Name string
	Pid  int

	cmd    *exec.Cmd
	waited chan struct{} // closed when cmd.Wait has returned
}

// Signal sends s to the process. It does nothing when the process has exited.
func (p *Process) Signal(s syscall.Signal) error {
	if p.exited() {
		return nil
	}
	return p.cmd.Process.Signal(s)
}

// ExitCode returns the exit code of a process that has exited, or -1 when a signal
// terminated it.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }

// Wait waits until the process has exited, and returns false when it still runs
// after timeout.
func (p *Process) Wait(timeout time.Duration) bool {
	if p.exited() {
		return true
	}
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-p.waited:
		return true
	case <-t.C:
		return p.exited()
	}
}

func (p *Process) exited() bool {
	select {
	case <-p.waited:
		return true
	default:
		return false
	}
}

// ProcessGroup starts processes and stops them together. Dir must be set before
// the first use.
type ProcessGroup struct {
	Dir string // directory of the processes' output files, NAME.log

	mu        sync.Mutex
	processes []*Process
	starts    chan func()
}

// Start starts the executable bin with args. The name identifies the process in
// errors and names its output file.
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
	if err := g.startOnThread(cmd.Start); err != nil {
		return nil, err
	}
	p = &Process{Name: name, Pid: cmd.Process.Pid, cmd: cmd, waited: make(chan struct{})}
	g.mu.Lock()
	g.processes = append(g.processes, p)
	g.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(p.waited)
	}()
	return p, nil
}

// startOnThread runs start on an OS thread that is kept for the group's lifetime.
// Pdeathsig makes the kernel kill a child when the thread that started it exits,
// even if the process lives on.
func (g *ProcessGroup) startOnThread(start func() error) error {
	g.mu.Lock()
	if g.starts == nil {
		g.starts = make(chan func())
		go runStarts(g.starts)
	}
	starts := g.starts
	g.mu.Unlock()
	result := make(chan error, 1)
	starts <- func() { result <- start() }
	return <-result
}

func runStarts(starts <-chan func()) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for start := range starts {
		start()
	}
}

// Stop sends SIGTERM to every process, and SIGKILL to those that have not exited
// after stopTimeout. Suspended processes are resumed first.
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

// Kill sends SIGKILL to every process and waits for each to exit.
func (g *ProcessGroup) Kill() {
	for _, p := range g.all() {
		_ = p.Signal(syscall.SIGKILL)
		p.Wait(stopTimeout)
	}
}

// Running returns the number of processes that have not exited.
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

// Sleep waits for d and returns false when ctx ended first.
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

// WaitUntil calls done at the given interval until it returns true. It returns
// false after timeout or when ctx has ended.
func WaitUntil(ctx context.Context, timeout, interval time.Duration, done func() bool) bool {
	end := time.Now().Add(timeout)
	for !done() {
		if time.Now().After(end) || !Sleep(ctx, interval) {
			return false
		}
	}
	return true
}
