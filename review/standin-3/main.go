// Command standin3 plays the cases of the review that are scripts: the store, the servers and the callers are stand-ins in
// this process, the balancers are processes of their own.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit statuses of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

var cases = map[string]func(s *system, r *recorder, trouble bool) (int, error){
	"routes":    routes,
	"stop":      stop,
	"rejection": rejection,
	"failure":   failure,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE PROGRAM RECORD")
		os.Exit(cannotRun)
	}
	status, err := play(cases[os.Args[1]], os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		status = cannotRun
	}
	os.Exit(status)
}

// play plays a case and ends all processes that it has started, also when it is interrupted.
func play(run func(s *system, r *recorder, trouble bool) (int, error), program, record string) (int, error) {
	r, err := newRecorder(record)
	if err != nil {
		return cannotRun, err
	}
	s, err := newSystem(program)
	if err != nil {
		return cannotRun, err
	}
	defer s.close()
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupts
		s.close()
		os.Exit(cannotRun)
	}()
	return run(s, r, os.Getenv("TROUBLE") != "0")
}
