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

// flushTime is how long the last spans may take to leave.
const flushTime = 2 * time.Second

// runCommand runs a balancer.
type runCommand struct {
	settings string
}

func (*runCommand) Name() string     { return "run" }
func (*runCommand) Synopsis() string { return "run one balancer process" }
func (*runCommand) Usage() string {
	return `run -settings FILE
  Runs the balancer of one VM until SIGTERM, then stops without cutting calls.
  Example: comfreyvale run -settings /etc/comfreyvale/vm.yaml
  Exit status: 0 after a planned stop, 1 after a failure, 2 for wrong usage.
`
}

// SetFlags defines the command's flags.
func (c *runCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "the VM's settings file")
}

// Execute runs the command.
func (c *runCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	settings, err := cvsettings.Load(c.settings)
	if err != nil {
		return failed(err)
	}
	tracing := &cvtracing.Tracing{Endpoint: settings.TracesEndpoint(), Share: settings.TraceShare(), VM: settings.VM()}
	return traced(ctx, tracing, func(tracer trace.Tracer) error {
		b := &cvbalancer.Balancer{
			Settings: settings,
			Log:      &cvhttplog.Log{Address: settings.LogAddress()},
			VMList:   &cvhttpvmlist.List{Address: settings.VMListAddress()},
			Logger:   (&cvlogger.Logger{Out: os.Stderr, JSON: true}).New(),
			Tracer:   tracer,
		}
		return b.Run(ctx)
	})
}

// traced runs a balancer with a source of spans, and sends the last spans when it has ended.
func traced(ctx context.Context, tracing *cvtracing.Tracing, run func(tracer trace.Tracer) error) subcommands.ExitStatus {
	tracer, err := tracing.Tracer(ctx)
	if err != nil {
		return failed(err)
	}
	err = run(tracer)
	flush, cancel := context.WithTimeout(context.Background(), flushTime)
	defer cancel()
	// Spans are a help only; the stop goes on without them.
	_ = tracing.Close(flush)
	if err != nil {
		return failed(err)
	}
	return subcommands.ExitSuccess
}

// devCommand runs the embedded default.
type devCommand struct {
	demo    bool
	verbose bool
}

func (*devCommand) Name() string     { return "dev" }
func (*devCommand) Synopsis() string { return "run log, upstreams and two balancers in one process" }
func (*devCommand) Usage() string {
	return `dev [-demo] DIRECTORY...
  Runs everything in one process for the service files below the directories.
  With -demo it sends requests, prints the answers and ends.
  Example: comfreyvale dev -demo examples
  Exit status: 0 when all answers are right, 1 when one is wrong, 2 for wrong usage.
`
}

// SetFlags defines the command's flags.
func (c *devCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.demo, "demo", false, "send requests to the examples and end")
	f.BoolVar(&c.verbose, "v", false, "print the balancers' log lines")
}

// Execute runs the command.
func (c *devCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return usage("dev: name at least one directory")
	}
	logger := &cvlogger.Logger{Out: discard{}}
	if c.verbose {
		logger.Out = os.Stderr
	}
	d := &cvdev.Dev{Directories: f.Args(), Out: os.Stdout, Logger: logger.New(), Demo: c.demo}
	if err := d.Run(ctx); err != nil {
		return failed(err)
	}
	return subcommands.ExitSuccess
}

// discard takes lines that nobody asked for.
type discard struct{}

// Write takes a line.
func (discard) Write(line []byte) (int, error) { return len(line), nil }

// failed prints an error and returns the exit status of its kind.
func failed(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "comfreyvale: "+err.Error())
	switch cvfault.KindOf(err) {
	case comfreyvale.KindConflict:
		return exitConflict
	case comfreyvale.KindUncertain:
		return exitUncertain
	}
	return subcommands.ExitFailure
}

func usage(text string) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "comfreyvale: "+text)
	return subcommands.ExitUsageError
}
