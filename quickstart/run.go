package quickstart

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"jackdawswitch/ledger"
)

const (
	routerCount   = 2
	agentCount    = 3
	maxChatTokens = 24
)

// Run starts a small system, sends requests through it, stops its daemons
// gracefully and prints the ledger to out.
func Run(ctx context.Context, out io.Writer) error {
	layout, err := NewLayout(routerCount, agentCount)
	if err != nil {
		return err
	}
	printTo(out, "Starting %d routers, %d agents and stand-ins for the platform and the endpoints.\n", routerCount, agentCount)
	system, err := Start(ctx, layout, discardLogger())
	if err != nil {
		return err
	}
	if err := sendSampleRequests(ctx, layout, out); err != nil {
		_ = system.Close()
		return err
	}
	printTo(out, "\nStopping the daemons gracefully.\n")
	if err := system.Drain(); err != nil {
		return err
	}
	if err := printLedger(ctx, system, out); err != nil {
		return err
	}
	return system.Close()
}

func sendSampleRequests(ctx context.Context, layout *Layout, out io.Writer) error {
	first := NewClient("http://" + layout.Routers[0].CallerAddress)
	second := NewClient("http://" + layout.Routers[1].CallerAddress)
	printTo(out, "\nA complete response:\n  ")
	text, err := first.Chat(ctx, "", "Describe the Sidamo lot.", maxChatTokens)
	if err != nil {
		return err
	}
	printTo(out, "%s\n\nA streamed response:\n  ", text)
	onPart := func(part string) { printTo(out, "%s", part) }
	streamed, err := first.StreamChat(ctx, "auction-call-1", "Summarise today's cupping.", maxChatTokens, onPart)
	if err != nil {
		return err
	}
	printTo(out, "\n\nThe same idempotency key at the other router returns the same response: ")
	repeated, err := second.StreamChat(ctx, "auction-call-1", "Summarise today's cupping.", maxChatTokens, func(string) {})
	if err != nil {
		return err
	}
	printTo(out, "%t\n\nA booking that may run at most once, sent to both routers:\n", repeated == streamed)
	for _, client := range []*Client{first, second} {
		response, err := client.CallPlainService(ctx, http.MethodPost, "/book", "booking-42", []byte(`{"lot":"sidamo"}`))
		if err != nil {
			return err
		}
		printTo(out, "  %s\n", response)
	}
	return nil
}

// printLedger prints the lot's row in the table.
func printLedger(ctx context.Context, system *System, out io.Writer) error {
	rows, err := system.Table.Get(ctx, ledger.LotKey(Workspace, Lot))
	if err != nil {
		return err
	}
	var lot ledger.LotRow
	if len(rows) != 1 {
		return errors.WithStack(&MissingLotError{Lot: Lot})
	}
	if err := json.Unmarshal(rows[0].Value, &lot); err != nil {
		return errors.WithStack(err)
	}
	printTo(out, "\nLedger of lot %s:\n", lot.Lot)
	printTo(out, "  budget     %10d credits\n", lot.Budget)
	printTo(out, "  billed     %10d credits\n", lot.Billed)
	printTo(out, "  committed  %10d credits\n", lot.Committed)
	return nil
}

// MissingLotError reports that the table has no row for a lot.
type MissingLotError struct{ Lot string }

// Error implements error.
func (e *MissingLotError) Error() string { return "quickstart: the table has no row for lot " + e.Lot }

func printTo(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, format, args...)
}
