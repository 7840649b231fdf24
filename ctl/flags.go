package ctl

import (
	"time"

	"github.com/integrii/flaggy"
)

// loadFlags are the flags of the load command.
type loadFlags struct {
	rate        float64
	duration    time.Duration
	concurrency int
	model       string
	prompt      string
	maxTokens   int
	stream      bool
	keys        []string
}

const (
	defaultRate        = 10
	defaultDuration    = 10 * time.Second
	defaultConcurrency = 64
	defaultMaxTokens   = 64
	defaultPrompt      = "Describe lot 17 in one sentence."
)

func defaultFlags() flags {
	return flags{
		base:  -1,
		fleet: fleetFlags{timeout: defaultFleetTimeout},
		load: loadFlags{
			rate:        defaultRate,
			duration:    defaultDuration,
			concurrency: defaultConcurrency,
			maxTokens:   defaultMaxTokens,
			prompt:      defaultPrompt,
		},
	}
}

func (t *Tool) addFlags(command string, subcommand *flaggy.Subcommand) {
	switch command {
	case "apply":
		subcommand.Int(&t.flags.base, "b", "base", "configuration version that the file is based on; required unless it is the first configuration")
	case "fleet":
		fleet := &t.flags.fleet
		subcommand.StringSlice(&fleet.routers, "r", "routers", "operators' addresses of routers, separated by commas; can be repeated")
		subcommand.String(&fleet.file, "f", "file", "file with one operators' address a line; lines that begin with # are ignored")
		subcommand.String(&fleet.workspace, "w", "workspace", "show the budget of this workspace by holder")
		subcommand.Bool(&fleet.endpoints, "e", "endpoints", "show evacuations, and endpoints that are cold, leaving, paused or replaced")
		subcommand.Duration(&fleet.timeout, "t", "timeout", "how long one router may take to answer")
	case "ledger":
		subcommand.String(&t.flags.ledger.lot, "", "lot", "show only this lot, as WORKSPACE/LOT")
		subcommand.Bool(&t.flags.ledger.verify, "", "verify", "recompute the bills and list every difference; exit code 4 if there are any")
		subcommand.Bool(&t.flags.ledger.export, "", "export", "print one line of JSON per bill")
	case "quarantine":
		subcommand.String(&t.flags.incident.release, "", "release", "request to release from quarantine, as WORKSPACE/BODY")
	case "resolve":
		subcommand.String(&t.flags.incident.ran, "", "ran", "record that this request ran, as WORKSPACE/KEY")
		subcommand.String(&t.flags.incident.notRun, "", "not-run", "record that this request did not run, as WORKSPACE/KEY")
		subcommand.String(&t.flags.incident.operator, "o", "operator", "name of the operator who determined the outcome")
	case "load":
		load := &t.flags.load
		subcommand.Float64(&load.rate, "r", "rate", "requests per second, sent at even intervals regardless of response times")
		subcommand.Duration(&load.duration, "d", "duration", "how long to send requests")
		subcommand.Int(&load.concurrency, "c", "concurrency", "maximum number of in-flight requests; requests beyond it are counted as not sent")
		subcommand.String(&load.model, "m", "model", "model to request")
		subcommand.String(&load.prompt, "p", "prompt", "prompt of each request; a number is appended")
		subcommand.Int(&load.maxTokens, "", "max-tokens", "maximum number of tokens per response")
		subcommand.Bool(&load.stream, "s", "stream", "request streamed responses")
		subcommand.StringSlice(&load.keys, "k", "key", "API key of a workspace; can be repeated, keys are used in turn")
	}
}
