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

// checkCommand validates files.
type checkCommand struct {
	settings string
	serve    string
	json     bool
}

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "check service files and settings" }
func (*checkCommand) Usage() string {
	return `check [-settings FILE] [-serveSettings FILE] [-json] [DIRECTORY...]
  Checks the service files below the directories together, and the settings file of a VM for run or serve.
  Each problem is a line: file:line:column: field: what is wrong, what is allowed.
  Example: comfreyvale check -settings vm.yaml examples
  Exit status: 0 when all is well, 1 for problems, 2 for wrong usage.
`
}

// SetFlags defines the command's flags.
func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "a VM's settings file")
	f.StringVar(&c.serve, "serveSettings", "", "a VM's settings file for serve")
	f.BoolVar(&c.json, "json", false, "print the result as JSON")
}

// Execute runs the command.
func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.settings == "" && c.serve == "" && f.NArg() == 0 {
		return usage("check: name a directory, -settings or -serveSettings")
	}
	var problems []string
	if c.settings != "" {
		if _, err := cvsettings.Load(c.settings); err != nil {
			problems = append(problems, strings.Split(err.Error(), "\n")...)
		}
	}
	if c.serve != "" {
		if _, err := cvnodesettings.Load(c.serve); err != nil {
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

// publishCommand publishes service files.
type publishCommand struct {
	log      string
	vmList   string
	group    string
	author   string
	revision string
	id       string
	removed  string
	dryRun   bool
	wait     time.Duration
}

func (*publishCommand) Name() string     { return "publish" }
func (*publishCommand) Synopsis() string { return "publish service files to all balancers" }
func (*publishCommand) Usage() string {
	return `publish -log URL [-vmList URL] [-revision TEXT] [-dryRun] DIRECTORY...
  Publishes the service files below the directories as one change, shows what changes,
  and waits until each balancer VM has it in force.
  Example: comfreyvale publish -log http://10.0.0.5:7000 -vmList http://10.0.0.6:7001 -revision 4f2a91c services
  Exit status: 0 when in force everywhere, 1 for problems or VMs that lag, 2 for wrong usage,
  3 when another publication came first, 4 when the outcome is not known (publish again with the same -id).
`
}

// SetFlags defines the command's flags.
func (c *publishCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.log, "log", "", "URL of the platform's log")
	f.StringVar(&c.vmList, "vmList", "", "URL of the platform's VM list, to wait for the balancers")
	f.StringVar(&c.group, "group", "comfreyvale", "group of the balancers in the VM list")
	f.StringVar(&c.author, "author", "", "who publishes (default: the user)")
	f.StringVar(&c.revision, "revision", "", "the files' revision, like a commit")
	f.StringVar(&c.id, "id", "", "the publication's id, to learn what became of an earlier one (default: random)")
	f.StringVar(&c.removed, "remove", "", "services to remove, separated by commas")
	f.BoolVar(&c.dryRun, "dryRun", false, "show what would change and end")
	f.DurationVar(&c.wait, "wait", 30*time.Second, "how long to wait for the balancers")
}

// Execute runs the command.
func (c *publishCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.log == "" || (f.NArg() == 0 && c.removed == "") {
		return usage("publish: -log and a directory or -remove are needed")
	}
	var files []*cvwire.ServiceFile
	if f.NArg() > 0 {
		found, err := (&cvservicefiles.Collector{Directories: f.Args()}).Collect()
		if err != nil {
			return failed(err)
		}
		files = found
	}
	return c.publish(ctx, files)
}

func (c *publishCommand) publish(ctx context.Context, files []*cvwire.ServiceFile) subcommands.ExitStatus {
	c.fill()
	operator := c.operator()
	p := &cvpublisher.Publisher{
		Log: &cvhttplog.Log{Address: c.log}, ID: c.id, Author: c.author, Revision: c.revision, Out: os.Stdout,
	}
	if operator != nil {
		p.FetchCheckpoint = operator.Checkpoint
	}
	publication, err := p.Prepare(ctx, time.Now(), files, splitNames(c.removed))
	if err != nil {
		return failed(err)
	}
	if len(publication.GetFiles()) == 0 {
		fmt.Println("nothing changes")
		return subcommands.ExitSuccess
	}
	if c.dryRun {
		return subcommands.ExitSuccess
	}
	began := time.Now()
	offset, err := p.Publish(ctx, publication)
	if err != nil {
		return failed(err)
	}
	fmt.Printf("accepted as generation %d, id %s\n", offset, c.id)
	if operator == nil {
		return subcommands.ExitSuccess
	}
	if err := operator.AwaitGeneration(ctx, offset, began, c.wait, os.Stdout); err != nil {
		return failed(err)
	}
	return subcommands.ExitSuccess
}

func (c *publishCommand) operator() *cvadminclient.Client {
	if c.vmList == "" {
		return nil
	}
	return &cvadminclient.Client{VMList: &cvhttpvmlist.List{Address: c.vmList}, Group: c.group}
}

// fill gives what was left out.
func (c *publishCommand) fill() {
	if c.id == "" {
		var id [8]byte
		// The reader of crypto/rand never fails.
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

// referenceCommand prints the reference page.
type referenceCommand struct{}

func (*referenceCommand) Name() string     { return "reference" }
func (*referenceCommand) Synopsis() string { return "print the reference of all fields" }
func (*referenceCommand) Usage() string {
	return `reference
  Prints every field of service files and settings, with kind, default, bounds and effect, as Markdown.
  Example: comfreyvale reference > docs/REFERENCE.md
`
}

// SetFlags defines no flags.
func (*referenceCommand) SetFlags(*flag.FlagSet) {}

// Execute runs the command.
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
		fallback := f.Default
		if f.Required {
			fallback = "required"
		}
		bounds := f.Allowed
		if f.Min != "" {
			bounds = f.Min + " to " + f.Max
		}
		fmt.Printf("| `%s` | %s | %s | %s | %s |\n", f.Path, f.Kind, fallback, bounds, f.Effect)
	}
}

func printJSON(value any) {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		fmt.Fprintln(os.Stderr, "comfreyvale: "+err.Error())
	}
}
