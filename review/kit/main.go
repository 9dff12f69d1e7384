// Command review plays one case: it starts the project's balancers as processes, with stand-ins for everything around
// them, and says whether a rule was broken.
//
// Usage: review CASE ROOT RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the
// environment it does the same without the disruption.
package main

import (
	"fmt"
	"os"
)

// cases returns whether the rule held.
var cases = map[string]func(w *world) (held bool, err error){
	"late-rejection":  lateRejection,
	"endless-answers": endlessAnswers,
	"unread-body":     unreadBody,
	"poison":          poison,
	"silent-store":    silentStore,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review CASE ROOT RECORD")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]]))
}

func run(play func(w *world) (bool, error)) int {
	w, err := newWorld(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	}
	defer w.close()
	held, err := play(w)
	switch {
	case err != nil:
		w.rec.say("the case could not run: %v", err)
		return 2
	case held:
		w.rec.say("the rule held")
		return 0
	}
	w.rec.say("the rule was broken")
	return 1
}
