// Command comfreyvale runs the load balancer and provides its command-line tools.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

// Exit statuses in addition to those of package subcommands: 0 for success, 1 for failure and 2 for wrong usage.
const (
	// exitConflict means that another publication came first.
	exitConflict subcommands.ExitStatus = 3
	// exitUncertain means that the outcome is unknown.
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
	// The signals stay caught until the process exits: a second one must not abort the graceful shutdown.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		stop()
	}()
	os.Exit(int(commander.Execute(ctx)))
}
