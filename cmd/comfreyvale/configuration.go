package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/google/subcommands"

	"comfreyvale/core/cvfield"
	"comfreyvale/core/cvservice"
	"comfreyvale/core/cvwire"
	"comfreyvale/io/operators/cvadminclient"
	"comfreyvale/io/operators/cvnodesettings"
	"comfreyvale/io/operators/cvpublisher"
	"comfreyvale/io/operators/cvservicefiles"
	"comfreyvale/io/operators/cvsettings"
	"comfreyvale/io/store/cvhttplog"
	"comfreyvale/io/store/cvhttpvmlist"
)

// checkCommand validates service files, settings files and configurations of the platform without using them.
type checkCommand struct {
	against       string
	settings      string
	serveSettings string
	json          bool
}

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "check service files, settings and configurations" }
func (*checkCommand) Usage() string {
	return `check [-settings FILE] [-serveSettings FILE] [-json] [DIRECTORY...]
  Validates the service files in the directories and their subdirectories together, and the settings file of
  a VM for run or serve.
  Prints one line for each problem: file:line:column: field: what is wrong, what is allowed.
  Example: comfreyvale check -settings vm.yaml examples
check [-serveSettings FILE] [-json] FILE [-against FILE]
  Validates a configuration of serve in the platform's format before it is published: entries that can never
  match, limits that contradict each other, unknown services. With -against, prints what differs from the
  configuration in that file. The length of quota windows is that of the settings. Prints no API key.
  Example: comfreyvale check next.json -against current.json
  Exit status: 0 if there are no problems, 1 if there are problems, 2 for wrong usage.
`
}

func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.against, "against", "", "configuration in force, to print the differences")
	f.StringVar(&c.settings, "settings", "", "settings file of a VM for run")
	f.StringVar(&c.serveSettings, "serveSettings", "", "settings file of a VM for serve")
	f.BoolVar(&c.json, "json", false, "print the result as JSON")
}

func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if isConfiguration(f.Arg(0)) || (c.against != "" && f.NArg() > 0) {
		return c.checkConfiguration(f)
	}
	if c.against != "" {
		return failUsage("check: -against needs the file of a configuration")
	}
	if c.settings == "" && c.serveSettings == "" && f.NArg() == 0 {
		return failUsage("check: a directory, -settings or -serveSettings is required")
	}
	var problems []string
	if c.settings != "" {
		if _, err := cvsettings.Load(c.settings); err != nil {
			problems = append(problems, strings.Split(err.Error(), "\n")...)
		}
	}
	if c.serveSettings != "" {
		if _, err := cvnodesettings.Load(c.serveSettings); err != nil {
			problems = append(problems, strings.Split(err.Error(), "\n")...)
		}
	}
	services := []string{}
	if f.NArg() > 0 {
		files, err := (&cvservicefiles.Collector{Directories: f.Args()}).Collect()
		if err != nil {
			problems = append(problems, strings.Split(err.Error(), "\n")...)
		}
		for _, s := range files {
			services = append(services, s.GetService())
		}
	}
	return c.report(services, problems)
}

func (c *checkCommand) report(services, problems []string) subcommands.ExitStatus {
	if c.json {
		printJSON(map[string]any{"services": services, "problems": problems})
	} else if len(problems) == 0 {
		fmt.Printf("all is well: %d service(s): %s\n", len(services), strings.Join(services, ", "))
	}
	if len(problems) == 0 {
		return subcommands.ExitSuccess
	}
	if !c.json {
		fmt.Fprintln(os.Stderr, strings.Join(problems, "\n"))
	}
	return subcommands.ExitFailure
}

// publishCommand publishes service files to all balancers.
type publishCommand struct {
	log      string
	vmList   string
	group    string
	author   string
	revision string
	id       string
	remove   string
	dryRun   bool
	wait     time.Duration
}

func (*publishCommand) Name() string     { return "publish" }
func (*publishCommand) Synopsis() string { return "publish service files to all balancers" }
func (*publishCommand) Usage() string {
	return `publish -log URL [-vmList URL] [-revision TEXT] [-dryRun] DIRECTORY...
  Publishes the service files in the directories and their subdirectories as one change and prints the
  differences. With -vmList, waits until the change is in force on each balancer VM.
  Example: comfreyvale publish -log http://10.0.0.5:7000 -vmList http://10.0.0.6:7001 -revision 4f2a91c services
  Exit status: 0 if the change was accepted and, with -vmList, is in force everywhere, 1 for problems or if a
  VM did not apply it in time, 2 for wrong usage, 3 if another publication came first, 4 if the outcome is
  unknown (publish again with the same -id).
`
}

func (c *publishCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.log, "log", "", "URL of the platform's log")
	f.StringVar(&c.vmList, "vmList", "", "URL of the platform's VM list; if set, wait until the balancers apply the change")
	f.StringVar(&c.group, "group", "comfreyvale", "group of the balancers in the VM list")
	f.StringVar(&c.author, "author", "", "author of the publication (default: the current user)")
	f.StringVar(&c.revision, "revision", "", "revision of the files, for example a commit hash")
	f.StringVar(&c.id, "id", "", "ID of the publication; repeat the ID of an earlier publication to learn its outcome (default: random)")
	f.StringVar(&c.remove, "remove", "", "comma-separated services to remove")
	f.BoolVar(&c.dryRun, "dryRun", false, "print the differences without publishing")
	f.DurationVar(&c.wait, "wait", 30*time.Second, "maximum time to wait for the balancers")
}

func (c *publishCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.log == "" || (f.NArg() == 0 && c.remove == "") {
		return failUsage("publish: -log and either a directory or -remove are required")
	}
	var files []*cvwire.ServiceFile
	if f.NArg() > 0 {
		collected, err := (&cvservicefiles.Collector{Directories: f.Args()}).Collect()
		if err != nil {
			return fail(err)
		}
		files = collected
	}
	return c.publish(ctx, files)
}

func (c *publishCommand) publish(ctx context.Context, files []*cvwire.ServiceFile) subcommands.ExitStatus {
	c.setDefaults()
	client := c.newAdminClient()
	p := &cvpublisher.Publisher{
		Log: &cvhttplog.Log{Address: c.log}, ID: c.id, Author: c.author, Revision: c.revision, Out: os.Stdout,
	}
	if client != nil {
		p.FetchCheckpoint = client.Checkpoint
	}
	publication, err := p.Prepare(ctx, time.Now(), files, splitNames(c.remove))
	if err != nil {
		return fail(err)
	}
	if len(publication.GetFiles()) == 0 {
		fmt.Println("nothing changes")
		return subcommands.ExitSuccess
	}
	if c.dryRun {
		return subcommands.ExitSuccess
	}
	startedAt := time.Now()
	offset, err := p.Publish(ctx, publication)
	if err != nil {
		return fail(err)
	}
	fmt.Printf("accepted as generation %d, id %s\n", offset, c.id)
	if client == nil {
		return subcommands.ExitSuccess
	}
	if err := client.AwaitGeneration(ctx, offset, startedAt, c.wait, os.Stdout); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

func (c *publishCommand) newAdminClient() *cvadminclient.Client {
	if c.vmList == "" {
		return nil
	}
	return &cvadminclient.Client{VMList: &cvhttpvmlist.List{Address: c.vmList}, Group: c.group}
}

// setDefaults sets the ID and the author if their flags are not set.
func (c *publishCommand) setDefaults() {
	if c.id == "" {
		var id [8]byte
		// crypto/rand.Read never returns an error.
		_, _ = rand.Read(id[:])
		c.id = hex.EncodeToString(id[:])
	}
	if c.author == "" {
		if u, err := user.Current(); err == nil {
			c.author = u.Username
		}
	}
}

func splitNames(names string) []string {
	if names == "" {
		return nil
	}
	return strings.Split(names, ",")
}

// referenceCommand prints the reference of all configuration fields.
type referenceCommand struct{}

func (*referenceCommand) Name() string     { return "reference" }
func (*referenceCommand) Synopsis() string { return "print the reference of all fields" }
func (*referenceCommand) Usage() string {
	return `reference
  Prints all fields of service files and settings files as Markdown, with kind, default, bounds and effect.
  Example: comfreyvale reference > docs/REFERENCE.md
`
}

func (*referenceCommand) SetFlags(*flag.FlagSet) {}

func (*referenceCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Println("# Reference of all fields\n\nPrinted by `comfreyvale reference`.")
	printFields("Service file (`"+cvservicefiles.FileName+"`)", cvservice.Fields())
	printFields("Settings of a VM (`run`)", cvsettings.Fields())
	printFields("Settings of a VM whose routes come from the platform's directory (`serve`)", cvnodesettings.Fields())
	return subcommands.ExitSuccess
}

func printFields(title string, fields []cvfield.Field) {
	fmt.Printf("\n## %s\n\n| field | kind | default | bounds | effect |\n|---|---|---|---|---|\n", title)
	for _, f := range fields {
		defaultValue := f.Default
		if f.Required {
			defaultValue = "required"
		}
		bounds := f.Allowed
		if f.Min != "" {
			bounds = f.Min + " to " + f.Max
		}
		fmt.Printf("| `%s` | %s | %s | %s | %s |\n", f.Path, f.Kind, defaultValue, bounds, f.Effect)
	}
}

func printJSON(value any) {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		fmt.Fprintln(os.Stderr, "comfreyvale: "+err.Error())
	}
}
