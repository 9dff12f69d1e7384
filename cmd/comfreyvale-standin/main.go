// Command comfreyvale-standin runs stand-ins for the platform and the upstreams, for tests and trials.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"comfreyvale"
	"comfreyvale/io/standins/cvlistserver"
	"comfreyvale/io/standins/cvlogserver"
	"comfreyvale/io/standins/cvmemlist"
	"comfreyvale/io/standins/cvmemlog"
	"comfreyvale/io/standins/cvsample"
	"comfreyvale/io/standins/cvupstream"
)

// shutdownTimeout limits the time for requests in progress to finish after a stop signal.
const shutdownTimeout = 30 * time.Second

// crashExitStatus is the exit status of an upstream process that a request crashed.
const crashExitStatus = 3

func main() {
	commander := subcommands.NewCommander(flag.CommandLine, "comfreyvale-standin")
	commander.Register(commander.HelpCommand(), "")
	commander.Register(&platformCommand{}, "")
	commander.Register(&groupCommand{}, "")
	commander.Register(&upstreamCommand{}, "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	status := commander.Execute(ctx)
	stop()
	os.Exit(int(status))
}

// platformCommand serves the platform's log and VM list from memory.
type platformCommand struct {
	log, list string
}

func (*platformCommand) Name() string     { return "platform" }
func (*platformCommand) Synopsis() string { return "serve the log and the VM list" }
func (*platformCommand) Usage() string {
	return "platform -log ADDRESS -list ADDRESS\n  Example: comfreyvale-standin platform -log 127.0.0.1:7000 -list 127.0.0.1:7001\n"
}

func (c *platformCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.log, "log", "127.0.0.1:7000", "address of the log")
	f.StringVar(&c.list, "list", "127.0.0.1:7001", "address of the VM list")
}

func (c *platformCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	servers := []*http.Server{
		{Addr: c.log, Handler: (&cvlogserver.Server{Log: &cvmemlog.Log{}}).Handler()},
		{Addr: c.list, Handler: (&cvlistserver.Server{VMList: &cvmemlist.List{}}).Handler()},
	}
	return serve(ctx, servers)
}

// serve runs servers until the context is cancelled or one of them fails.
func serve(ctx context.Context, servers []*http.Server) subcommands.ExitStatus {
	failures := make(chan error, len(servers))
	for _, s := range servers {
		go func() { failures <- s.ListenAndServe() }()
	}
	select {
	case err := <-failures:
		fmt.Fprintln(os.Stderr, "comfreyvale-standin: "+err.Error())
		return subcommands.ExitFailure
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, s := range servers {
		if s.Shutdown(shutdownCtx) != nil {
			s.Close()
		}
	}
	return subcommands.ExitSuccess
}

// groupCommand serves a group of upstreams in one process.
type groupCommand struct {
	group       cvsample.Group
	list        string
	dataCentres int
}

func (*groupCommand) Name() string     { return "group" }
func (*groupCommand) Synopsis() string { return "serve a group of upstreams in one process" }
func (*groupCommand) Usage() string {
	return "group -name GROUP -count N -slots N -list URL\n  Example: comfreyvale-standin group -name listings -count 30 -slots 4 -list http://127.0.0.1:7001\n"
}

func (c *groupCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.group.Name, "name", "listings", "name of the group in the VM list")
	f.IntVar(&c.group.Count, "count", 4, "number of upstreams")
	f.IntVar(&c.group.Slots, "slots", 4, "maximum number of concurrent requests of each upstream")
	f.DurationVar(&c.group.ConnectTime, "connect", time.Millisecond, "simulated time to open a connection")
	f.DurationVar(&c.group.OneWayDelay, "distance", 0, "simulated one-way network delay")
	f.Uint64Var(&c.group.Seed, "seed", 1, "seed of the simulated latencies")
	f.IntVar(&c.dataCentres, "dataCentres", 3, "number of data centres")
	f.StringVar(&c.list, "list", "http://127.0.0.1:7001", "URL of the VM list")
}

func (c *groupCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	for i := range c.dataCentres {
		c.group.DataCentres = append(c.group.DataCentres, fmt.Sprintf("dc-%d", i+1))
	}
	c.group.VMList = &cvmemlist.List{}
	if err := c.group.Start(); err != nil {
		fmt.Fprintln(os.Stderr, "comfreyvale-standin: "+err.Error())
		return subcommands.ExitFailure
	}
	vms, _ := c.group.VMList.List(ctx)
	for _, v := range vms {
		if err := register(ctx, c.list, v); err != nil {
			fmt.Fprintln(os.Stderr, "comfreyvale-standin: "+err.Error())
			return subcommands.ExitFailure
		}
	}
	<-ctx.Done()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	c.group.Stop(shutdownCtx)
	return subcommands.ExitSuccess
}

// register adds a VM to the VM list at a URL.
func register(ctx context.Context, list string, vm comfreyvale.VM) error {
	body, err := json.Marshal(map[string]any{"group": vm.Group(), "dataCentre": vm.DataCentre(), "address": vm.Address(), "leaving": vm.Leaving()})
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, list+"/vms/"+vm.Name(), bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// upstreamCommand serves one upstream in a separate process, which a request can crash.
type upstreamCommand struct {
	upstream   cvupstream.Upstream
	listen     string
	group      string
	dataCentre string
	list       string
}

func (*upstreamCommand) Name() string     { return "upstream" }
func (*upstreamCommand) Synopsis() string { return "serve one upstream in a separate process" }
func (*upstreamCommand) Usage() string {
	return "upstream -name NAME -group GROUP -listen ADDRESS -list URL\n  Example: comfreyvale-standin upstream -name listings-1 -group listings -listen 127.0.0.1:7101 -list http://127.0.0.1:7001\n"
}

func (c *upstreamCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.upstream.Name, "name", "listings-1", "name of the upstream")
	f.IntVar(&c.upstream.Slots, "slots", 4, "maximum number of concurrent requests")
	f.DurationVar(&c.upstream.ConnectTime, "connect", time.Millisecond, "simulated time to open a connection")
	f.DurationVar(&c.upstream.OneWayDelay, "distance", 0, "simulated one-way network delay")
	f.Uint64Var(&c.upstream.Seed, "seed", 1, "seed of the simulated latencies")
	f.StringVar(&c.group, "group", "listings", "name of the group in the VM list")
	f.StringVar(&c.dataCentre, "dataCentre", "dc-1", "data centre of the upstream")
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "address to listen on")
	f.StringVar(&c.list, "list", "http://127.0.0.1:7001", "URL of the VM list")
}

func (c *upstreamCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.upstream.OnCrash = func() { os.Exit(crashExitStatus) }
	listener, err := net.Listen("tcp", c.listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, "comfreyvale-standin: "+err.Error())
		return subcommands.ExitFailure
	}
	server := &http.Server{Handler: c.upstream.Handler(), ConnState: c.upstream.ConnState, ConnContext: c.upstream.ConnContext}
	go server.Serve(listener)
	if err := register(ctx, c.list, comfreyvale.NewVM(c.upstream.Name, c.group, c.dataCentre, listener.Addr().String(), false)); err != nil {
		fmt.Fprintln(os.Stderr, "comfreyvale-standin: "+err.Error())
		return subcommands.ExitFailure
	}
	<-ctx.Done()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server.Shutdown(shutdownCtx) != nil {
		server.Close()
	}
	return subcommands.ExitSuccess
}
