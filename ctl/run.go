package ctl

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/integrii/flaggy"
)

const (
	description = "Validates, plans and applies the configuration of a jackdawswitch fleet, " +
		"shows its state and generates load for tests."
	exitCodes = "Exit codes: 0 success, 1 failure, 2 wrong usage, 3 conflict with another operator, 4 check failed."

	httpTimeout = 10 * time.Second
)

type flags struct {
	base       int
	jsonOutput bool
	load       loadFlags
	incident   incidentFlags
	ledger     ledgerFlags
	fleet      fleetFlags
}

// Run executes the command that args name and returns the exit code. Args do not
// include the program's name. On --help, --version and unknown flags, flaggy
// exits the process.
func Run(ctx context.Context, args []string, opts Options) int {
	tool := newTool(opts)
	commands := append(builtinCommands(), opts.ExtraCommands...)
	parser, subcommands, positionals := tool.newParser(commands)
	if err := parser.ParseArgs(args); err != nil {
		return tool.reportError(&UsageError{Problem: err.Error()})
	}
	index := slices.IndexFunc(subcommands, func(s *flaggy.Subcommand) bool { return s.Used })
	if index < 0 {
		parser.ShowHelp()
		return tool.reportError(&UsageError{Problem: "no command given"})
	}
	values := make([]string, 0, len(positionals[index]))
	for _, value := range positionals[index] {
		values = append(values, *value)
	}
	return tool.reportError(commands[index].Run(ctx, tool, values))
}

func newTool(opts Options) *Tool {
	if opts.Getenv == nil {
		opts.Getenv = func(string) string { return "" }
	}
	tool := &Tool{Options: opts, client: &http.Client{Transport: opts.Transport, Timeout: httpTimeout}}
	tool.Platform.Table = opts.Getenv("JACKDAW_TABLE")
	tool.Platform.ObjectStore = opts.Getenv("JACKDAW_OBJECTS")
	tool.flags = defaultFlags()
	return tool
}

func builtinCommands() []Command {
	return []Command{
		{Name: "check", Description: "validate a configuration file and list all its faults", Args: []string{"FILE"}, Run: runCheck},
		{Name: "plan", Description: "show what applying a configuration file would change", Args: []string{"FILE"}, Run: runPlan},
		{Name: "apply", Description: "make a configuration file the newest configuration", Args: []string{"FILE"}, Run: runApply},
		{Name: "status", Description: "show the state of all processes in the register", Run: runStatus},
		{Name: "dump", Description: "print the complete state of the process at an operators' address", Args: []string{"ADDRESS"}, Run: runDump},
		{Name: "fleet", Description: "show the jackdaw-edge routers at the given addresses, a workspace's budget there, or the endpoints they avoid", Run: runFleet},
		{Name: "ledger", Description: "show the credit lots and their grants, verify them, or export their bills", Run: runLedger},
		{Name: "quarantine", Description: "list the requests that crashed endpoints, or release one from quarantine", Run: runQuarantine},
		{Name: "resolve", Description: "list the requests whose outcome is unknown, or record the outcome of one", Run: runResolve},
		{Name: "load", Description: "send bounded load to a router and measure the responses", Args: []string{"URL"}, Run: runLoad},
	}
}

func (t *Tool) newParser(commands []Command) (*flaggy.Parser, []*flaggy.Subcommand, [][]*string) {
	parser := flaggy.NewParser("jackdawctl")
	parser.Description = description
	parser.AdditionalHelpAppend = "\n" + exitCodes
	parser.Version = t.Version
	parser.ShowCompletion = false
	parser.String(&t.Platform.Table, "", "table", "base URL of the table service (or JACKDAW_TABLE)")
	parser.String(&t.Platform.ObjectStore, "", "objects", "base URL of the object store (or JACKDAW_OBJECTS)")
	parser.Bool(&t.flags.jsonOutput, "", "json", "print JSON instead of text")
	subcommands := make([]*flaggy.Subcommand, 0, len(commands))
	positionals := make([][]*string, len(commands))
	for i, command := range commands {
		subcommand := flaggy.NewSubcommand(command.Name)
		subcommand.Description = command.Description
		for k, name := range command.Args {
			value := new(string)
			subcommand.AddPositionalValue(value, name, k+1, true, name)
			positionals[i] = append(positionals[i], value)
		}
		t.addFlags(command.Name, subcommand)
		parser.AttachSubcommand(subcommand, 1)
		subcommands = append(subcommands, subcommand)
	}
	return parser, subcommands, positionals
}

// reportError prints err, if any, and returns the exit code.
func (t *Tool) reportError(err error) int {
	if err != nil {
		_, _ = fmt.Fprintln(t.Stderr, "jackdawctl:", err)
	}
	return ExitCode(err)
}
