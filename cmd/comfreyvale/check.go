package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"comfreyvale/core/cvconfigcheck"
	"comfreyvale/core/cvroutes"
	"comfreyvale/io/operators/cvnodesettings"
	"comfreyvale/io/operators/cvservicefiles"
	"comfreyvale/platform/cvformat"
)

// defaultQuotaWindow is the default of the setting terms.quotaWindow.
const defaultQuotaWindow = 5 * time.Second

// isConfiguration reports whether an argument of check names a configuration in the platform's format: a file that is not
// a service file.
func isConfiguration(path string) bool {
	if path == "" || filepath.Base(path) == cvservicefiles.FileName {
		return false
	}
	info, err := os.Stat(path)
	return err == nil && !info.IsDir()
}

// checkConfiguration checks a configuration in the platform's format.
func (c *checkCommand) checkConfiguration(f *flag.FlagSet) subcommands.ExitStatus {
	file := f.Arg(0)
	// Package flag stops at the first argument that is no flag.
	if err := f.Parse(f.Args()[1:]); err != nil {
		return subcommands.ExitUsageError
	}
	if f.NArg() > 0 || c.settings != "" {
		return failUsage("check: the file of a configuration is checked alone, and not with service files or -settings")
	}
	window, err := c.quotaWindow()
	if err != nil {
		return fail(err)
	}
	table, err := loadConfiguration(file)
	if err != nil {
		return c.reportConfiguration(file, []string{err.Error()}, nil)
	}
	check := &cvconfigcheck.Check{Table: table, QuotaWindow: window}
	problems, changes := check.Problems(), []string(nil)
	if c.against != "" {
		inForce, err := loadConfiguration(c.against)
		if err != nil {
			return fail(errors.Wrap(err, c.against))
		}
		changes = check.Changes(inForce)
	}
	return c.reportConfiguration(file, problems, changes)
}

// quotaWindow returns the length of quota windows by the settings file, or the default one.
func (c *checkCommand) quotaWindow() (time.Duration, error) {
	if c.serveSettings == "" {
		return defaultQuotaWindow, nil
	}
	settings, err := cvnodesettings.Load(c.serveSettings)
	if err != nil {
		return 0, err
	}
	return settings.Terms().QuotaWindow(), nil
}

func loadConfiguration(file string) (*cvroutes.Table, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return cvformat.ParseConfiguration(content)
}

func (c *checkCommand) reportConfiguration(file string, problems, changes []string) subcommands.ExitStatus {
	switch {
	case c.json:
		printJSON(map[string]any{"problems": append([]string{}, problems...), "changes": append([]string{}, changes...)})
	case len(problems) == 0:
		fmt.Printf("%s: all is well\n", file)
	default:
		for _, p := range problems {
			fmt.Fprintf(os.Stderr, "%s: %s\n", file, p)
		}
	}
	if !c.json && len(changes) > 0 {
		fmt.Println("differences from " + c.against + ":\n  " + strings.Join(changes, "\n  "))
	}
	if len(problems) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
