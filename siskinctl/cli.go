package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"github.com/willabides/kongplete"

	"siskinpath/siskinctl/platform"
)

const description = `Operators' client of siskinpath: reads and edits the table of services and upstreams, and shows the state of the hosts.

Exit status: 0 success, 1 error, 2 wrong usage, 3 conflict with another edit, 4 platform unreachable, 5 not (yet) in force on every host that can be reached, or none can be reached.`

// globalFlags holds the flags of every command. Empty ones are set from the settings
// file.
type globalFlags struct {
	Settings string        `help:"Settings file." env:"SISKINPATH_SETTINGS" type:"path" placeholder:"FILE"`
	Platform string        `help:"Address of the platform: IP address and port." env:"SISKINPATH_PLATFORM" placeholder:"ADDR"`
	Host     string        `help:"Operator address of a host to query while the platform is unavailable." placeholder:"ADDR"`
	Author   string        `help:"Author name to record with edits." env:"SISKINPATH_AUTHOR"`
	Timeout  time.Duration `help:"How long to retry; 10s by default." placeholder:"SPAN"`
	JSON     bool          `help:"Print JSON." name:"json"`
}

// app is the context in which a command runs.
type app struct {
	globalFlags
	settings settings
	out      io.Writer
	err      io.Writer
	parser   *kong.Kong
}

// parserExit is the panic value with which kong's exit function leaves the parser. It
// holds the exit status.
type parserExit int

// run runs one command line and returns the exit status.
func run(args []string, out, errOut io.Writer) (status int) {
	defer func() {
		if stop, ok := recover().(parserExit); ok {
			status = int(stop)
		}
	}()
	a := &app{out: out, err: errOut}
	options := []kong.Option{
		kong.Name("siskinctl"),
		kong.Description(description),
		kong.Writers(out, errOut),
		kong.Exit(func(code int) { panic(parserExit(code)) }),
	}
	for _, c := range commands {
		options = append(options, kong.DynamicCommand(c.name, c.help, "", c.newCmd()))
	}
	parser, err := kong.New(&a.globalFlags, options...)
	if err != nil {
		return a.reportError(err)
	}
	a.parser = parser
	kongplete.Complete(parser)
	kctx, err := parser.Parse(args)
	if err != nil {
		return a.reportError(usageError(err))
	}
	if err := a.readSettings(); err != nil {
		return a.reportError(err)
	}
	return a.reportError(kctx.Run(a))
}

// reportError prints err, if any, and returns the exit status for it.
func (a *app) reportError(err error) int {
	if err == nil {
		return exitOK
	}
	var e *exitError
	if !errors.As(err, &e) {
		e = &exitError{status: exitFailure}
	}
	if errors.Is(err, platform.ErrNotApplied) {
		e = &exitError{status: exitPlatform}
	}
	_, _ = fmt.Fprintf(a.err, "siskinctl: %v\n", err)
	return e.status
}

// platformClient returns a client for the platform, or an error if no address is set.
func (a *app) platformClient() (*platform.Client, error) {
	if a.Platform == "" {
		return nil, usageError(errors.New("the platform's address is not set; give --platform, SISKINPATH_PLATFORM or platform in the settings file"))
	}
	return &platform.Client{Address: a.Platform}, nil
}

// printJSON prints v as JSON to the standard output.
func (a *app) printJSON(v any) error {
	e := json.NewEncoder(a.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// printf prints to the standard output.
func (a *app) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(a.out, format, args...)
}

// printErrf prints to the standard error, for notes that must not become part of the
// output.
func (a *app) printErrf(format string, args ...any) {
	_, _ = fmt.Fprintf(a.err, format, args...)
}

// readFile reads a file, or standard input for "-".
func readFile(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}
