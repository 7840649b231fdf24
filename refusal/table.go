package refusal

import (
	"strconv"
	"strings"

	pb "jackdawswitch/api/jackdawv1"
)

// stateNames maps run states to their names in the table for callers.
var stateNames = map[pb.RunState]string{
	notRun:    "not run",
	unknown:   "unknown",
	completed: "completed",
	partial:   "partial",
}

const tableHead = `# Refusals

Each failure that a caller sees has a cause from this table. The run state
says what is known of this request: "not run" is said only with proof; with
"unknown" the request may have run, and a retry with the same idempotency key
is safe. "Billed" says whether a cost can stay on the bill. Where the table says
so, the answer carries Retry-After. Once an answer's first byte is sent, its
status can't change: the cause then ends the stream as an error event.

| Cause | HTTP status | Run state | Billed | Retry-After | Meaning |
|---|---|---|---|---|---|
`

// MarkdownPage returns the page docs/operate/refusals.md with the table of causes.
func MarkdownPage() string {
	var out strings.Builder
	out.WriteString(tableHead)
	for _, rule := range rules {
		out.WriteString("| `" + string(rule.Cause) + "` | " + strconv.Itoa(rule.Status) + " | " +
			rule.runStatesCell() + " | " + rule.billedCell() + " | " + yesNo(rule.SendRetryAfter) + " | " + rule.Meaning + " |\n")
	}
	return out.String()
}

func (r Rule) runStatesCell() string {
	names := make([]string, len(r.RunStates))
	for i, state := range r.RunStates {
		names[i] = stateNames[state]
	}
	return strings.Join(names, ", ")
}

func (r Rule) billedCell() string {
	switch {
	case !r.MayBeBilled():
		return "no"
	case len(r.RunStates) == 1 && r.RunStates[0] != unknown:
		return "yes"
	default:
		return "if it ran"
	}
}

func yesNo(ok bool) string {
	if ok {
		return "yes"
	}
	return "no"
}
