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

const description = `Operators' client of siskinpath: reads and edits the table of services and upstreams, and looks at the hosts.

Exit status: 0 done, 1 fault, 2 wrong usage, 3 conflict with another edit, 4 platform unreachable, 5 not (yet) in force everywhere.`

// globalFlags are the flags of every command. An empty one is looked up in the
// settings file.
type globalFlags struct {
	Settings string        `help:"Settings file." env:"SISKINPATH_SETTINGS" type:"path" placeholder:"FILE"`
	Platform string        `help:"Address of the platform: IP number and port." env:"SISKINPATH_PLATFORM" placeholder:"ADDR"`
	Host     string        `help:"Operators' address of a host to ask, for when the platform is away." placeholder:"ADDR"`
	Author   string        `help:"Name to note with edits." env:"SISKINPATH_AUTHOR"`
	Timeout  time.Duration `help:"How long to go on trying; 10s by default." placeholder:"SPAN"`
	JSON     bool          `help:"Print JSON." name:"json"`
}

// app is what commands work with.
type app struct {
	globalFlags
	settings settings
	out      io.Writer
	err      io.Writer
	parser   *kong.Kong
}

// parserExit carries kong's wish to exit out of its parser.
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

// reportError prints an error and returns the exit status for it.
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

// platformClient returns a client, or an error when no address is known.
func (a *app) platformClient() (*platform.Client, error) {
	if a.Platform == "" {
		return nil, usageError(errors.New("the platform's address is not known; give --platform, SISKINPATH_PLATFORM or platform in the settings file"))
	}
	return &platform.Client{Address: a.Platform}, nil
}

// printJSON prints v for scripts.
func (a *app) printJSON(v any) error {
	e := json.NewEncoder(a.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func (a *app) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(a.out, format, args...)
}

// printErrf prints what is for people only, beside the output.
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
