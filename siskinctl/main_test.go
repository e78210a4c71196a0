package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"siskinctl": main})
}

// TestScenarios runs each folder of testdata as whole sessions of an operator.
func TestScenarios(t *testing.T) {
	dirs, err := filepath.Glob("testdata/*")
	if err != nil || len(dirs) == 0 {
		t.Fatalf("no scenarios: %v", err)
	}
	for _, dir := range dirs {
		t.Run(filepath.Base(dir), func(t *testing.T) {
			testscript.Run(t, testscript.Params{
				Dir:   dir,
				Setup: setup,
				Cmds: map[string]func(*testscript.TestScript, bool, []string){
					"platform": platformCommand,
					"host":     hostCommand,
					"fails":    exitCommand,
				},
			})
		})
	}
}

// setup gives each script its own platform.
func setup(e *testscript.Env) error {
	p, err := startFakePlatform()
	if err != nil {
		return err
	}
	e.Defer(p.stop)
	e.Values[platformKey{}] = p
	e.Setenv("SISKINPATH_PLATFORM", p.address())
	e.Setenv("SISKINPATH_AUTHOR", "ama")
	e.Setenv("GORACE", "atexit_sleep_ms=20") // of the race detector, a second otherwise for each command
	e.Setenv("XDG_CONFIG_HOME", filepath.Join(e.WorkDir, "none"))
	return nil
}

type platformKey struct{}

// exitCommand is "fails STATUS COMMAND...": the command ends with that status.
func exitCommand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: fails STATUS COMMAND...")
	}
	err := ts.Exec(args[1], args[2:]...)
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != atoi(ts, args[0]) {
		ts.Fatalf("ended with %v, not with %s", err, args[0])
	}
}

// platformCommand is "platform down|up", "platform lose N" (the next N
// transactions are applied and get no reply), "platform drop N" (they are not
// applied and get none), or "platform race FILE" (another operator's edit is
// applied just before the next transaction).
func platformCommand(ts *testscript.TestScript, neg bool, args []string) {
	p := ts.Value(platformKey{}).(*fakePlatform)
	if neg || len(args) == 0 {
		ts.Fatalf("usage: platform down|up|lose N|drop N|race FILE")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch args[0] {
	case "down":
		p.down = true
	case "up":
		p.down = false
	case "lose":
		p.loseReplies = atoi(ts, args[1])
	case "drop":
		p.dropRequests = atoi(ts, args[1])
	case "race":
		text, err := os.ReadFile(ts.MkAbs(args[1]))
		ts.Check(err)
		p.raceEdits = append(p.raceEdits, string(text))
	default:
		ts.Fatalf("unknown: platform %s", args[0])
	}
}

// hostCommand is "host ID VERSION" (it has that version in force), "host ID follow"
// (it has the newest), or "host ID down".
func hostCommand(ts *testscript.TestScript, neg bool, args []string) {
	p := ts.Value(platformKey{}).(*fakePlatform)
	if neg || len(args) != 2 {
		ts.Fatalf("usage: host ID VERSION|follow|down")
	}
	h, err := p.host(args[0])
	ts.Check(err)
	ts.Setenv("OPERATOR_"+strings.ReplaceAll(args[0], "-", "_"), h.address())
	p.mu.Lock()
	defer p.mu.Unlock()
	h.followsNewest, h.down = args[1] == "follow", args[1] == "down"
	if !h.followsNewest && !h.down {
		h.version = uint64(atoi(ts, args[1]))
	}
}
