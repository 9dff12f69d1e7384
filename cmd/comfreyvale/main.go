// Command comfreyvale is the load balancer and its tools.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

// The exit statuses beside those of package subcommands: 0 for success, 1 for failure, 2 for wrong usage.
const (
	// exitConflict says that another publication came first.
	exitConflict subcommands.ExitStatus = 3
	// exitUncertain says that the outcome is not known.
	exitUncertain subcommands.ExitStatus = 4
)

func main() {
	commander := subcommands.NewCommander(flag.CommandLine, "comfreyvale")
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	commander.Register(&runCommand{}, "balancer")
	commander.Register(&serveCommand{}, "balancer")
	commander.Register(&devCommand{}, "balancer")
	commander.Register(&checkCommand{}, "configuration")
	commander.Register(&publishCommand{}, "configuration")
	commander.Register(&referenceCommand{}, "configuration")
	commander.Register(&statusCommand{}, "operation")
	commander.Register(&explainCommand{}, "operation")
	commander.Register(&loadCommand{}, "operation")
	commander.Register(&versionCommand{}, "")
	flag.Parse()
	ctx, stop := context.WithCancel(context.Background())
	// Signals are taken until the process has ended: a second one must not cut a planned stop short.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		stop()
	}()
	os.Exit(int(commander.Execute(ctx)))
}
