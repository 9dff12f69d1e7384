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

// version is the release; the build's own details are added when printed.
const version = "0.1.0"

// statusCommand shows balancers.
type statusCommand struct {
	admin string
	json  bool
}

func (*statusCommand) Name() string     { return "status" }
func (*statusCommand) Synopsis() string { return "show what is in force on balancers" }
func (*statusCommand) Usage() string {
	return `status -admin ADDRESS[,ADDRESS...] [-json]
  Shows each balancer's configuration, roster, services and quarantines.
  Example: comfreyvale status -admin 10.0.1.1:8081,10.0.1.2:8081
  Exit status: 0 when all answered, 1 when one did not, 2 for wrong usage.
`
}

// SetFlags defines the command's flags.
func (c *statusCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.admin, "admin", "", "operators' addresses of the balancers, separated by commas")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

// Execute runs the command.
func (c *statusCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.admin == "" {
		return usage("status: -admin is needed")
	}
	o := &cvadminclient.Client{}
	result := subcommands.ExitSuccess
	var all []cvstatus.Status
	for _, a := range strings.Split(c.admin, ",") {
		s, err := o.Status(ctx, a)
		if err != nil {
			result = failed(err)
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

// explainCommand names causes.
type explainCommand struct {
	admin string
	json  bool
}

func (*explainCommand) Name() string     { return "explain" }
func (*explainCommand) Synopsis() string { return "name the setting or condition that decided a call" }
func (*explainCommand) Usage() string {
	return `explain -admin ADDRESS[,ADDRESS...] [-json] SUBJECT
  Lists the decisions about a request id, an upstream or a service, with the setting
  (file, line, revision, author) or the condition that made each.
  Example: comfreyvale explain -admin 10.0.1.1:8081 listings-7
  Exit status: 0 when something was found, 1 otherwise, 2 for wrong usage.
`
}

// SetFlags defines the command's flags.
func (c *explainCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.admin, "admin", "", "operators' addresses of the balancers, separated by commas")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

// Execute runs the command.
func (c *explainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.admin == "" || f.NArg() != 1 {
		return usage("explain: -admin and one subject are needed")
	}
	o := &cvadminclient.Client{}
	var all []map[string]any
	for _, a := range strings.Split(c.admin, ",") {
		found, err := o.Explain(ctx, a, f.Arg(0))
		if err != nil {
			failed(err)
		}
		all = append(all, found...)
	}
	if c.json {
		printJSON(all)
	} else {
		for _, d := range all {
			printDecision(d)
		}
	}
	if len(all) == 0 {
		fmt.Fprintln(os.Stderr, "comfreyvale: nothing is remembered of "+f.Arg(0))
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
		fmt.Printf(", by setting %v = %v (%v:%v, revision %v by %v)", d["setting"], d["value"], d["file"], line(d["line"]), d["revision"], d["author"])
	}
	fmt.Println()
}

func line(number any) any {
	if number == nil {
		return "default"
	}
	return number
}

// loadCommand sends load.
type loadCommand struct {
	load    cvload.Load
	targets string
	profile string
	direct  string
	json    bool
}

func (*loadCommand) Name() string     { return "load" }
func (*loadCommand) Synopsis() string { return "send load and check each answer" }
func (*loadCommand) Usage() string {
	return `load -targets ADDRESS[,ADDRESS...] [-profile lanasur|cedarstep|bare] [-rate N] [-duration D] [-seed N] [-json]
  Sends calls at a fixed rate, counts latency from when each call was due, and checks that each answer is
  whole and the call's own. With -direct URL of a VM list, calls go to the upstreams themselves, for comparison.
  Example: comfreyvale load -targets 10.0.1.1:8080,10.0.1.2:8080 -profile lanasur -rate 2000 -duration 30s
  Exit status: 0 unless an answer was wrong, 1 otherwise, 2 for wrong usage.
`
}

// SetFlags defines the command's flags.
func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.targets, "targets", "", "addresses to send to in turn, separated by commas")
	f.StringVar(&c.profile, "profile", "lanasur", "kinds of call: lanasur, cedarstep, or bare lookups without work")
	f.Float64Var(&c.load.Rate, "rate", 500, "calls a second")
	f.DurationVar(&c.load.Duration, "duration", 10*time.Second, "how long to send")
	f.DurationVar(&c.load.Timeout, "timeout", 10*time.Second, "how long a caller waits")
	f.IntVar(&c.load.MaxResends, "resends", 0, "how often a refused or broken call is sent again")
	f.Uint64Var(&c.load.Seed, "seed", 1, "seed of the calls")
	f.StringVar(&c.direct, "direct", "", "URL of a VM list: send to the upstreams themselves")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

// Execute runs the command.
func (c *loadCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if (c.targets == "") == (c.direct == "") {
		return usage("load: either -targets or -direct is needed")
	}
	profiles := map[string][]cvprofile.Profile{
		"lanasur": cvprofile.Lanasur(), "cedarstep": cvprofile.Cedarstep(), "bare": cvprofile.Bare(),
	}[c.profile]
	if profiles == nil {
		return usage("load: -profile is lanasur, cedarstep or bare")
	}
	c.load.Targets = strings.Split(c.targets, ",")
	if c.direct != "" {
		vms, err := (&cvhttpvmlist.List{Address: c.direct}).List(ctx)
		if err != nil {
			return failed(err)
		}
		c.load.ChooseTarget = byGroup(vms)
	}
	c.load.Profiles = profiles
	c.load.Name = fmt.Sprintf("load-%d-%d", c.load.Seed, time.Now().UnixNano())
	report, err := c.load.Run(ctx)
	if err != nil {
		return failed(err)
	}
	write := report.Write
	if c.json {
		write = report.WriteJSON
	}
	if err := write(os.Stdout); err != nil {
		return failed(err)
	}
	if report.Count("all", "wrong") > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// byGroup sends each call to the upstreams in turn whose group is the first label of the call's host.
func byGroup(vms []comfreyvale.VM) func(cvprofile.Profile, uint64) string {
	addresses := make(map[string][]string)
	for _, v := range vms {
		addresses[v.Group()] = append(addresses[v.Group()], v.Address())
	}
	return func(p cvprofile.Profile, number uint64) string {
		group, _, _ := strings.Cut(p.Host, ".")
		found := addresses[group]
		if len(found) == 0 {
			return ""
		}
		return found[number%uint64(len(found))]
	}
}

// versionCommand prints the version.
type versionCommand struct{}

func (*versionCommand) Name() string     { return "version" }
func (*versionCommand) Synopsis() string { return "print the version" }
func (*versionCommand) Usage() string {
	return "version\n  Prints the release and the Go version that built it.\n  Example: comfreyvale version\n"
}

// SetFlags defines no flags.
func (*versionCommand) SetFlags(*flag.FlagSet) {}

// Execute runs the command.
func (*versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	built := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		built = info.GoVersion
	}
	fmt.Printf("comfreyvale %s (%s)\n", version, built)
	return subcommands.ExitSuccess
}
