package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"
	"go.opentelemetry.io/otel/trace"

	"comfreyvale"
	"comfreyvale/core/cvfault"
	"comfreyvale/io/balancers/cvbalancer"
	"comfreyvale/io/operators/cvlogger"
	"comfreyvale/io/operators/cvsettings"
	"comfreyvale/io/operators/cvtracing"
	"comfreyvale/io/standins/cvdev"
	"comfreyvale/io/store/cvhttplog"
	"comfreyvale/io/store/cvhttpvmlist"
)

// flushTimeout limits the time to export the last spans at shutdown.
const flushTimeout = 2 * time.Second

// runCommand runs a balancer that reads its configuration from the platform's log.
type runCommand struct {
	settings string
}

func (*runCommand) Name() string     { return "run" }
func (*runCommand) Synopsis() string { return "run one balancer process" }
func (*runCommand) Usage() string {
	return `run -settings FILE
  Runs the balancer of one VM until SIGTERM, then shuts down gracefully: calls in progress may finish.
  Example: comfreyvale run -settings /etc/comfreyvale/vm.yaml
  Exit status: 0 after a graceful shutdown, 1 after a failure, 2 for wrong usage.
`
}

func (c *runCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "settings file of the VM")
}

func (c *runCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	settings, err := cvsettings.Load(c.settings)
	if err != nil {
		return fail(err)
	}
	tracing := &cvtracing.Tracing{Endpoint: settings.TracesEndpoint(), Share: settings.TraceShare(), VM: settings.VM()}
	return runTraced(ctx, tracing, func(tracer trace.Tracer) error {
		b := &cvbalancer.Balancer{
			Settings: settings,
			Log:      &cvhttplog.Log{Address: settings.LogAddress()},
			VMList:   &cvhttpvmlist.List{Address: settings.VMListAddress()},
			Logger:   (&cvlogger.Options{Out: os.Stderr, JSON: true}).New(),
			Tracer:   tracer,
		}
		return b.Run(ctx)
	})
}

// runTraced runs a balancer with a tracer, exports the last spans when it has stopped, and returns the exit status.
func runTraced(ctx context.Context, tracing *cvtracing.Tracing, run func(tracer trace.Tracer) error) subcommands.ExitStatus {
	tracer, err := tracing.Tracer(ctx)
	if err != nil {
		return fail(err)
	}
	err = run(tracer)
	flushCtx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	// Lost spans must not make the shutdown fail.
	_ = tracing.Close(flushCtx)
	if err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

// devCommand runs the log, upstreams and two balancers in one process, for development.
type devCommand struct {
	demo    bool
	verbose bool
}

func (*devCommand) Name() string     { return "dev" }
func (*devCommand) Synopsis() string { return "run log, upstreams and two balancers in one process" }
func (*devCommand) Usage() string {
	return `dev [-demo] DIRECTORY...
  Runs a log, upstreams and two balancers in one process, for the service files in the directories and their
  subdirectories. With -demo, it sends requests to the examples, prints the responses and exits.
  Example: comfreyvale dev -demo examples
  Exit status: 0 if all responses are correct, 1 if one is wrong, 2 for wrong usage.
`
}

func (c *devCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.demo, "demo", false, "send requests to the examples, print the responses and exit")
	f.BoolVar(&c.verbose, "v", false, "print the log messages of the balancers")
}

func (c *devCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return failUsage("dev: at least one directory is required")
	}
	logger := &cvlogger.Options{Out: discardWriter{}}
	if c.verbose {
		logger.Out = os.Stderr
	}
	d := &cvdev.Dev{Directories: f.Args(), Out: os.Stdout, Logger: logger.New(), Demo: c.demo}
	if err := d.Run(ctx); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

type discardWriter struct{}

func (discardWriter) Write(line []byte) (int, error) { return len(line), nil }

// fail prints an error to standard error and returns the exit status for its kind.
func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "comfreyvale: "+err.Error())
	switch cvfault.KindOf(err) {
	case comfreyvale.KindConflict:
		return exitConflict
	case comfreyvale.KindUncertain:
		return exitUncertain
	}
	return subcommands.ExitFailure
}

// failUsage prints a message to standard error and returns the exit status for wrong usage.
func failUsage(text string) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "comfreyvale: "+text)
	return subcommands.ExitUsageError
}
