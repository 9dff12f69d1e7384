package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"github.com/google/subcommands"

	"comfreyvale"
	"comfreyvale/core/cvstatus"
	"comfreyvale/io/load/cvload"
	"comfreyvale/io/load/cvprofile"
	"comfreyvale/io/operators/cvadminclient"
	"comfreyvale/io/store/cvhttpvmlist"
)

const version = "0.1.0"

type statusCommand struct {
	admin string
	json  bool
}

func (*statusCommand) Name() string     { return "status" }
func (*statusCommand) Synopsis() string { return "show the state of balancers" }
func (*statusCommand) Usage() string {
	return `status -admin ADDRESS[,ADDRESS...] [-json]
  Prints the configuration generation, roster, services and quarantines of each balancer.
  Example: comfreyvale status -admin 10.0.1.1:8081,10.0.1.2:8081
  Exit status: 0 if all balancers answered, 1 if one did not, 2 for wrong usage.
`
}

func (c *statusCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.admin, "admin", "", "comma-separated admin addresses of the balancers")
	f.BoolVar(&c.json, "json", false, "print the result as JSON")
}

func (c *statusCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.admin == "" {
		return failUsage("status: -admin is required")
	}
	client := &cvadminclient.Client{}
	result := subcommands.ExitSuccess
	var all []cvstatus.Status
	for _, a := range strings.Split(c.admin, ",") {
		s, err := client.Status(ctx, a)
		if err != nil {
			result = fail(err)
			continue
		}
		all = append(all, s)
	}
	if c.json {
		printJSON(all)
		return result
	}
	for _, s := range all {
		printStatus(s)
	}
	return result
}

func printStatus(s cvstatus.Status) {
	fmt.Printf("%s in %s: generation %d, epoch %d, %d member(s), %d linked, %d claim(s), %d in flight, stopping %t\n",
		s.VM, s.DataCentre, s.Generation, s.Epoch, len(s.Members), len(s.Linked), s.Claims, s.InFlight, s.Stopping)
	for _, v := range s.Services {
		fmt.Printf("  %s: %d upstream(s), ejected %v, draining %v, %d call(s), %d tries, %d waiting\n",
			v.Name, len(v.Upstreams), v.Ejected, v.Draining, v.Calls, v.Tries, v.Waiting)
	}
	for _, q := range s.Quarantines {
		fmt.Printf("  quarantined: %s\n", q)
	}
}

// explainCommand prints the decisions about a request, an upstream or a service.
type explainCommand struct {
	admin string
	json  bool
}

func (*explainCommand) Name() string     { return "explain" }
func (*explainCommand) Synopsis() string { return "show the setting or condition behind a decision" }
func (*explainCommand) Usage() string {
	return `explain -admin ADDRESS[,ADDRESS...] [-json] SUBJECT
  Prints the decisions about a request ID, an upstream or a service, each with the setting
  (file, line, revision, author) or the condition that caused it.
  Example: comfreyvale explain -admin 10.0.1.1:8081 listings-7
  Exit status: 0 if a decision was found, 1 otherwise, 2 for wrong usage.
`
}

func (c *explainCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.admin, "admin", "", "comma-separated admin addresses of the balancers")
	f.BoolVar(&c.json, "json", false, "print the result as JSON")
}

func (c *explainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.admin == "" || f.NArg() != 1 {
		return failUsage("explain: -admin and one subject are required")
	}
	client := &cvadminclient.Client{}
	var all []map[string]any
	for _, a := range strings.Split(c.admin, ",") {
		decisions, err := client.Explain(ctx, a, f.Arg(0))
		if err != nil {
			fail(err)
		}
		all = append(all, decisions...)
	}
	if c.json {
		printJSON(all)
	} else {
		for _, d := range all {
			printDecision(d)
		}
	}
	if len(all) == 0 {
		fmt.Fprintln(os.Stderr, "comfreyvale: no decisions found about "+f.Arg(0))
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func printDecision(d map[string]any) {
	fmt.Printf("%v request %v service %v: %v", d["at"], d["request"], d["service"], d["cause"])
	if d["upstream"] != nil {
		fmt.Printf(", upstream %v", d["upstream"])
	}
	if d["condition"] != nil {
		fmt.Printf(", because %v", d["condition"])
	}
	if d["setting"] != nil {
		fmt.Printf(", by setting %v = %v (%v:%v, revision %v by %v)", d["setting"], d["value"], d["file"], lineOrDefault(d["line"]), d["revision"], d["author"])
	}
	fmt.Println()
}

func lineOrDefault(line any) any {
	if line == nil {
		return "default"
	}
	return line
}

// loadCommand sends test load and checks the responses.
type loadCommand struct {
	load    cvload.Generator
	targets string
	profile string
	direct  string
	json    bool
}

func (*loadCommand) Name() string     { return "load" }
func (*loadCommand) Synopsis() string { return "send load and check each response" }
func (*loadCommand) Usage() string {
	return `load -targets ADDRESS[,ADDRESS...] [-profile lanasur|cedarstep|bare] [-rate N] [-duration D] [-seed N] [-json]
  Sends calls at a fixed rate, measures the latency of each call from its scheduled start, and checks that each
  response is complete and belongs to its call. With -direct, the URL of a VM list, the calls bypass the balancers
  and go directly to the upstreams, for comparison.
  Example: comfreyvale load -targets 10.0.1.1:8080,10.0.1.2:8080 -profile lanasur -rate 2000 -duration 30s
  Exit status: 0 if no response was wrong, 1 otherwise, 2 for wrong usage.
`
}

func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.targets, "targets", "", "comma-separated addresses to send to in turn")
	f.StringVar(&c.profile, "profile", "lanasur", "kinds of calls: lanasur, cedarstep, or bare (lookups without work)")
	f.Float64Var(&c.load.Rate, "rate", 500, "calls per second")
	f.DurationVar(&c.load.Duration, "duration", 10*time.Second, "how long to send calls")
	f.DurationVar(&c.load.Timeout, "timeout", 10*time.Second, "timeout of each request")
	f.IntVar(&c.load.MaxResends, "resends", 0, "maximum number of times that a refused or broken call is sent again")
	f.Uint64Var(&c.load.Seed, "seed", 1, "seed of the random choice of calls")
	f.StringVar(&c.direct, "direct", "", "URL of a VM list: send directly to the upstreams in it")
	f.BoolVar(&c.json, "json", false, "print the result as JSON")
}

func (c *loadCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if (c.targets == "") == (c.direct == "") {
		return failUsage("load: either -targets or -direct is required")
	}
	profiles := map[string][]cvprofile.Profile{
		"lanasur": cvprofile.Lanasur(), "cedarstep": cvprofile.Cedarstep(), "bare": cvprofile.Bare(),
	}[c.profile]
	if profiles == nil {
		return failUsage("load: -profile must be lanasur, cedarstep or bare")
	}
	c.load.Targets = strings.Split(c.targets, ",")
	if c.direct != "" {
		vms, err := (&cvhttpvmlist.List{Address: c.direct}).List(ctx)
		if err != nil {
			return fail(err)
		}
		c.load.ChooseTarget = byGroup(vms)
	}
	c.load.Profiles = profiles
	c.load.Name = fmt.Sprintf("load-%d-%d", c.load.Seed, time.Now().UnixNano())
	report, err := c.load.Run(ctx)
	if err != nil {
		return fail(err)
	}
	write := report.Write
	if c.json {
		write = report.WriteJSON
	}
	if err := write(os.Stdout); err != nil {
		return fail(err)
	}
	if report.Count("all", "wrong") > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// byGroup returns a function that chooses the address of an upstream for a call. The first label of the call's host is
// the group, whose VMs the call's number selects in turn. The function returns an empty string if the group has no VM.
func byGroup(vms []comfreyvale.VM) func(cvprofile.Profile, uint64) string {
	addresses := make(map[string][]string)
	for _, v := range vms {
		addresses[v.Group()] = append(addresses[v.Group()], v.Address())
	}
	return func(p cvprofile.Profile, number uint64) string {
		group, _, _ := strings.Cut(p.Host, ".")
		targets := addresses[group]
		if len(targets) == 0 {
			return ""
		}
		return targets[number%uint64(len(targets))]
	}
}

type versionCommand struct{}

func (*versionCommand) Name() string     { return "version" }
func (*versionCommand) Synopsis() string { return "print the version" }
func (*versionCommand) Usage() string {
	return "version\n  Prints the release and the Go version that it was built with.\n  Example: comfreyvale version\n"
}

func (*versionCommand) SetFlags(*flag.FlagSet) {}

func (*versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	goVersion := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		goVersion = info.GoVersion
	}
	fmt.Printf("comfreyvale %s (%s)\n", version, goVersion)
	return subcommands.ExitSuccess
}
