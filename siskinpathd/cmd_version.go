package main

import "fmt"

// version is set at build time by the Makefile, from the file VERSION.
var version = "development"

var versionCommand = command{
	name:  "version",
	help:  "Print the version.",
	flags: &versionFlags{},
}

type versionFlags struct{}

// Run prints the version.
func (versionFlags) Run() error {
	_, err := fmt.Println("siskinpathd " + version)
	return err
}
