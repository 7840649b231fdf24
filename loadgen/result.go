package loadgen

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

type httpClient struct{ transport http.RoundTripper }

// Do implements the HTTP client interface of openai-go.
func (c httpClient) Do(req *http.Request) (*http.Response, error) {
	client := http.Client{Transport: c.transport}
	return client.Do(req)
}

// Percentiles are latency percentiles in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P90 float64 `json:"p90"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Result holds the measurements of a run, so far or in total.
type Result struct {
	Seconds float64 `json:"seconds"`
	// Sent counts the requests sent. Each one has an outcome, is refused, or is
	// still in flight.
	Sent int64 `json:"sent"`
	// Unsent counts the requests that were not sent because Options.Concurrency
	// requests were in flight when they were due.
	Unsent int64 `json:"unsent"`
	// Outcomes counts the requests that were not refused, by outcome.
	Outcomes map[string]int64 `json:"ends"`
	// Refused counts refusals by cause.
	Refused map[string]int64 `json:"refused"`
	// Tokens is the number of completion tokens of complete responses.
	Tokens int64 `json:"tokens"`
	// FirstToken and Total are the times of complete responses from when the
	// request was due to the first token and to the end.
	FirstToken Percentiles `json:"firstTokenMs"`
	Total      Percentiles `json:"totalMs"`
}

// FailedError counts the responses that were incomplete, wrong or missing.
type FailedError struct {
	Incomplete, Wrong, NoResponse int64
}

// Error implements error.
func (e *FailedError) Error() string {
	return fmt.Sprintf("loadgen: %d responses were incomplete, %d wrong and %d missing", e.Incomplete, e.Wrong, e.NoResponse)
}

// Err returns a *FailedError if any request got neither a complete and correct
// response nor a refusal.
func (r Result) Err() error {
	failed := &FailedError{Incomplete: r.Outcomes[OutcomeIncomplete], Wrong: r.Outcomes[OutcomeWrong], NoResponse: r.Outcomes[OutcomeNoResponse]}
	if *failed == (FailedError{}) {
		return nil
	}
	return failed
}

type tally struct {
	sent, unsent int64
	tokens       int64
	outcomes     map[string]int64
	refused      map[string]int64
	firstToken   *hdrhistogram.Histogram
	total        *hdrhistogram.Histogram
}

func newTally() tally {
	return tally{
		outcomes:   make(map[string]int64),
		refused:    make(map[string]int64),
		firstToken: newHistogram(),
		total:      newHistogram(),
	}
}

func (t *tally) add(got response) {
	if got.refusal != "" {
		t.refused[got.refusal]++
		return
	}
	t.outcomes[got.outcome]++
	if got.outcome != OutcomeComplete {
		return
	}
	t.tokens += got.tokens
	// Recording fails only above highestMicros; requestTimeout is below it.
	_ = t.firstToken.RecordValue(max(lowestMicros, got.firstToken.Microseconds()))
	_ = t.total.RecordValue(max(lowestMicros, got.total.Microseconds()))
}

func (t *tally) result(elapsed time.Duration) Result {
	return Result{
		Seconds:    elapsed.Seconds(),
		Sent:       t.sent,
		Unsent:     t.unsent,
		Outcomes:   maps.Clone(t.outcomes),
		Refused:    maps.Clone(t.refused),
		Tokens:     t.tokens,
		FirstToken: percentiles(t.firstToken),
		Total:      percentiles(t.total),
	}
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(quantile float64) float64 {
		return float64(h.ValueAtQuantile(quantile)) / 1000
	}
	return Percentiles{P50: at(50), P90: at(90), P95: at(95), P99: at(99), Max: float64(h.Max()) / 1000}
}

// WriteTable writes the result as a table for people.
func (r Result) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	rows := []string{
		fmt.Sprintf("seconds\t%.1f\t", r.Seconds),
		fmt.Sprintf("sent\t%d\t", r.Sent),
		fmt.Sprintf("not sent\t%d\t", r.Unsent),
	}
	for _, outcome := range slices.Sorted(maps.Keys(r.Outcomes)) {
		rows = append(rows, fmt.Sprintf("%s\t%d\t", outcome, r.Outcomes[outcome]))
	}
	for _, cause := range slices.Sorted(maps.Keys(r.Refused)) {
		rows = append(rows, fmt.Sprintf("refused: %s\t%d\t", cause, r.Refused[cause]))
	}
	rows = append(rows,
		fmt.Sprintf("answers/s\t%.1f\t", float64(r.Outcomes[OutcomeComplete])/max(r.Seconds, 1e-9)),
		fmt.Sprintf("tokens/s\t%.1f\t", float64(r.Tokens)/max(r.Seconds, 1e-9)),
		"\t\t",
		"milliseconds\tp50\tp90\tp95\tp99\tmax\t",
		r.FirstToken.row("first token"),
		r.Total.row("total"),
	)
	for _, row := range rows {
		if _, err := fmt.Fprintln(table, row); err != nil {
			return err
		}
	}
	return table.Flush()
}

func (p Percentiles) row(name string) string {
	return fmt.Sprintf("%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t", name, p.P50, p.P90, p.P95, p.P99, p.Max)
}
