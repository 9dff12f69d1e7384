package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/google/subcommands"
	"go.opentelemetry.io/otel/trace"

	"comfreyvale/io/balancers/cvnode"
	"comfreyvale/io/operators/cvloghandler"
	"comfreyvale/io/operators/cvnodesettings"
	"comfreyvale/io/operators/cvtracing"
	"comfreyvale/platform/cvformat"
	"comfreyvale/platform/cvtopicclient"
)

// serveCommand runs a balancer that reads its routes and upstreams from the platform's directory.
type serveCommand struct {
	settings string
}

func (*serveCommand) Name() string { return "serve" }
func (*serveCommand) Synopsis() string {
	return "run one balancer process with routes from the platform's directory"
}
func (*serveCommand) Usage() string {
	return fmt.Sprintf(`serve [-settings FILE]
  Runs the balancer of one entry VM until SIGTERM, then shuts down gracefully: requests in progress may finish.
  The environment variable %s sets the default path of the settings file.
  Example: comfreyvale serve -settings /etc/comfreyvale/node.yaml
  Exit status: 0 after a graceful shutdown, 1 after a failure, 2 for wrong usage.
`, cvformat.SettingsVariable)
}

func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", os.Getenv(cvformat.SettingsVariable), "settings file of the VM")
}

func (c *serveCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	// SIGHUP makes the node reload its settings. Without this handler, it would terminate the process before the node
	// handles the signal or after the node has stopped.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	settings, err := cvnodesettings.Load(c.settings)
	if err != nil {
		return fail(err)
	}
	tracing := &cvtracing.Tracing{Endpoint: settings.TracesEndpoint(), Share: settings.TraceShare(), VM: settings.VM()}
	return runTraced(ctx, tracing, func(tracer trace.Tracer) error { return c.serve(ctx, settings, tracer) })
}

// serve runs the node until the context ends, and writes the last log lines before it returns.
func (c *serveCommand) serve(ctx context.Context, settings *cvnodesettings.Settings, tracer trace.Tracer) error {
	handler := &cvloghandler.Handler{Out: os.Stdout}
	handlerCtx, stop := context.WithCancel(context.Background())
	flushed := make(chan error, 1)
	go func() { flushed <- handler.Run(handlerCtx) }()
	store := cvtopicclient.New(settings.DirectoryAddress())
	n := &cvnode.Node{
		Settings: settings, SettingsFile: c.settings, HeaderNames: cvformat.HeaderNames(),
		Configuration: store.Topic(cvformat.ConfigurationTopic), ConfigurationKey: cvformat.ConfigurationKey, EvacuationPrefix: cvformat.EvacuationPrefix, ParseRoutes: cvformat.ParseConfiguration,
		Upstreams: store.Topic(cvformat.UpstreamTopic), ParseInstance: cvformat.ParseInstance,
		Logger: &log.Logger{Handler: handler, Level: log.InfoLevel}, Tracer: tracer,
	}
	err := n.Run(ctx)
	stop()
	<-flushed
	return err
}
