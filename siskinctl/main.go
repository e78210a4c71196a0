// Command siskinctl is the command-line client for operators of siskinpath.
package main

import "os"

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}
