package ctl

import (
	"context"
	"fmt"
	"strings"

	"jackdawswitch/loadgen"
)

// apiKeysEnv names the environment variable with comma-separated API keys, which
// keeps them off the command line.
const apiKeysEnv = "JACKDAW_API_KEYS"

func runLoad(ctx context.Context, t *Tool, args []string) error {
	load := t.flags.load
	keys := load.keys
	if value := t.Getenv(apiKeysEnv); len(keys) == 0 && value != "" {
		keys = strings.Split(value, ",")
	}
	result, err := loadgen.Run(ctx, loadgen.Options{
		BaseURL:     args[0],
		Keys:        keys,
		Model:       load.model,
		Prompt:      load.prompt,
		MaxTokens:   load.maxTokens,
		Stream:      load.stream,
		Rate:        load.rate,
		Duration:    load.duration,
		Concurrency: load.concurrency,
		Transport:   t.Transport,
		Progress:    t.printProgress,
	})
	if err != nil {
		return &UsageError{Problem: err.Error()}
	}
	if err := t.printLoad(result); err != nil {
		return err
	}
	return result.Err()
}

func (t *Tool) printLoad(result loadgen.Result) error {
	if t.flags.jsonOutput {
		return t.printJSON(result)
	}
	if err := result.WriteTable(t.Stdout); err != nil {
		return &OutputError{Cause: err}
	}
	return nil
}

func (t *Tool) printProgress(result loadgen.Result) {
	refused := int64(0)
	for _, count := range result.Refused {
		refused += count
	}
	_, _ = fmt.Fprintf(t.Stderr, "%.0fs: %d sent, %d whole, %d refused, %d not sent\n",
		result.Seconds, result.Sent, result.Outcomes[loadgen.OutcomeComplete], refused, result.Unsent)
}
