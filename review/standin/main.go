// Command standin plays one case of the review: it starts instances with the command of the
// deploy file, and stands in for the platform, the hosts and the requesters.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	held     = 0
	broken   = 1
	notValid = 2
)

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository")
	path := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	c, ok := cases[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		return notValid
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w, err := newWorld(*root, *path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notValid
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan error, 1)
	go func() { done <- c.play(w, trouble) }()
	select {
	case err = <-done:
	case <-interrupted:
		err = fmt.Errorf("interrupted")
	case <-time.After(110 * time.Second):
		err = fmt.Errorf("the case took too long")
	}
	w.close()
	n := w.record.close(c.rule)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		return notValid
	case n > 0:
		return broken
	}
	return held
}
