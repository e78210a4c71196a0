// Command lab3 plays the cases of the third review: a small deployment with hosts as processes of
// their own, a store and upstreams in this process, and callers.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longest is how long a case may take.
const longest = 110 * time.Second

// cases holds what plays each case by name, and reports whether the rule was broken.
var cases = map[string]func(*fleet) bool{}

func main() {
	if len(os.Args) != 4 {
		fmt.Println("usage: lab3 CASE BINARY RECORD")
		os.Exit(exitNotRun)
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Printf("no case %q\n", os.Args[1])
		os.Exit(exitNotRun)
	}
	f := newFleet(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-stop
		f.exit(exitNotRun)
	}()
	time.AfterFunc(longest, func() { f.cannotRun(errors.New("the case takes too long")) })
	if play(f) {
		f.exit(exitBroken)
	}
	f.exit(exitHeld)
}
