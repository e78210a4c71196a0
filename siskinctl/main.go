// Command siskinctl is the operators' command line client of siskinpath.
package main

import "os"

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}
