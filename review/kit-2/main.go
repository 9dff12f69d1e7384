// Command review2 runs the cases of the second independent review: it starts stand-ins and processes of the system,
// plays one case, and checks one rule.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"time"
)

// The exit statuses of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// play plays a case and returns what broke the rule, each in one line. An error means that the case could not run.
type play func(w *world) (breaches []string, err error)

// plays holds the cases by name. The file of each case adds its own.
var plays = make(map[string]play)

func main() {
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(runCase(flag.Arg(0), *record, os.Getenv("TROUBLE") != "0"))
}

func runCase(name, file string, trouble bool) int {
	dir, err := os.MkdirTemp("", "review2")
	if err != nil {
		fmt.Println(err)
		return cannotRun
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	defer cancel()
	w, err := newWorld(ctx, dir, trouble)
	if err != nil {
		fmt.Println(err)
		return cannotRun
	}
	time.AfterFunc(105*time.Second, func() {
		w.close("the case took too long")
		os.WriteFile(file, w.lines.Bytes(), 0o644)
		os.Exit(cannotRun)
	})
	w.record("case %s, with the disruption: %t", name, trouble)
	p := plays[name]
	if p == nil {
		fmt.Println("unknown case", name)
		return cannotRun
	}
	breaches, err := p(w)
	if err == nil && len(w.runs) == 0 {
		err = errors.New("no request reached a server")
	}
	status, verdict := held, "the rule held"
	switch {
	case err != nil:
		status, verdict = cannotRun, "the case could not run: "+err.Error()
	case len(breaches) > 0:
		status, verdict = broken, fmt.Sprintf("the rule was broken, %d time(s)", len(breaches))
	}
	for _, b := range breaches {
		w.record("BROKEN %s", b)
	}
	w.close(verdict)
	if os.Getenv("KEEP_LOGS") != "" {
		os.CopyFS(os.Getenv("KEEP_LOGS"), os.DirFS(dir))
	}
	if err := os.WriteFile(file, w.lines.Bytes(), 0o644); err != nil {
		fmt.Println(err)
		return cannotRun
	}
	fmt.Println(verdict)
	return status
}
