// Command lab plays the cases of the second review: real host processes beside stand-ins of
// store, workers and clients on loopback addresses.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

var cases = map[string]func(trouble bool){
	"key-frozen":    keyFrozen,
	"host-returned": hostReturned,
	"relays-cut":    relaysCut,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE RECORD")
		os.Exit(2)
	}
	openRecord(os.Args[2])
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT)
	go func() { <-c; exit(2) }()
	time.AfterFunc(110*time.Second, func() { cannotRun("time is over") })
	cases[os.Args[1]](os.Getenv("TROUBLE") != "0")
}
