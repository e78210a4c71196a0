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

// TestScenarios runs the scripts of each folder of testdata. A script is a whole session
// of an operator.
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
					"exits":    exitCommand,
				},
			})
		})
	}
}

// setup starts a fake platform for a script and sets the environment.
func setup(e *testscript.Env) error {
	p, err := startFakePlatform()
	if err != nil {
		return err
	}
	e.Defer(p.stop)
	e.Values[platformKey{}] = p
	e.Setenv("SISKINPATH_PLATFORM", p.address())
	e.Setenv("SISKINPATH_AUTHOR", "ama")
	e.Setenv("GORACE", "atexit_sleep_ms=20") // the race detector otherwise sleeps for 1 s when a command exits
	e.Setenv("XDG_CONFIG_HOME", filepath.Join(e.WorkDir, "none"))
	return nil
}

type platformKey struct{}

// exitCommand implements "exits STATUS COMMAND...", which runs the command and requires
// that it fails with the given exit status.
func exitCommand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: exits STATUS COMMAND...")
	}
	err := ts.Exec(args[1], args[2:]...)
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != atoi(ts, args[0]) {
		ts.Fatalf("the command ended with error %v, want exit status %s", err, args[0])
	}
}

// platformCommand implements these script commands for the fake platform:
//
//	platform down       answer all calls with status 503
//	platform up         answer calls again
//	platform lose N     apply the next N transactions without a reply
//	platform drop N     neither apply nor answer the next N transactions
//	platform race FILE  apply FILE as another operator's edit just before the next transaction
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
		ts.Fatalf("unknown command: platform %s", args[0])
	}
}

// hostCommand implements these script commands for a fake host, which it starts if
// needed. It sets OPERATOR_ID to the host's operator address, with _ for - in ID.
//
//	host ID VERSION  report VERSION as in force
//	host ID follow   report the newest version as in force
//	host ID down     close connections without a reply
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
