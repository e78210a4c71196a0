package main

import "os"

var completionCommand = command{"completion", "Print the shell code that enables command-line completion.", func() any { return &completionCmd{} }}

type completionCmd struct {
	Shell string `arg:"" help:"bash, zsh or fish." enum:"bash,zsh,fish"`
}

// Run prints the code to add to the shell's startup file.
func (c *completionCmd) Run(a *app) error {
	path, err := os.Executable()
	if err != nil {
		return err
	}
	switch c.Shell {
	case "zsh":
		a.printf("autoload -U +X bashcompinit && bashcompinit\ncomplete -C '%s' siskinctl\n", path)
	case "fish":
		a.printf("complete -c siskinctl -f -a \"(env COMP_LINE=(commandline -cp) COMP_POINT=(commandline -C) '%s')\"\n", path)
	default:
		a.printf("complete -C '%s' siskinctl\n", path)
	}
	return nil
}
