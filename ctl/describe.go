package ctl

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"jackdawswitch/config"
)

// describeChange formats a change for people, with a heading per item: "+" for
// new, "~" for changed and "-" for removed. If before, the document before the
// change, is nil, new items can't be distinguished from changed ones and both get
// "~".
func describeChange(before *config.Document, change config.Change) string {
	if change.Empty() {
		return "no change\n"
	}
	w := &changeWriter{}
	if before == nil {
		w.noBase = true
		before = &config.Document{}
	}
	old := &before.Register
	writeItems(w, "failure domain", old.FailureDomains, change.FailureDomains, func(d config.FailureDomain) string { return d.ID })
	writeItems(w, "vm", old.VMs, change.VMs, func(v config.VM) string { return v.ID })
	writeItems(w, "workspace", old.Workspaces, change.Workspaces, func(w config.Workspace) string { return w.ID })
	writeItems(w, "service", old.Services, change.Services, func(s config.Service) string { return s.ID })
	writeItems(w, "endpoint", old.Endpoints, change.Endpoints, func(e config.Endpoint) string { return e.ID })
	writeItems(w, "lot", old.Lots, change.Lots, func(l config.Lot) string { return l.Workspace + "/" + l.ID })
	writeItems(w, "limit", before.Rules.Limits, change.Limits, func(l config.Limit) string { return l.Workspace })
	if change.Priorities != nil {
		w.writeFields("~ priorities", before.Rules.Priorities, *change.Priorities)
	}
	writeSection(w, "credit", before.Rules.Credit, change.Credit)
	writeSection(w, "requests", before.Rules.Requests, change.Requests)
	writeSection(w, "routing", before.Rules.Routing, change.Routing)
	writeSection(w, "placement", before.Rules.Placement, change.Placement)
	return w.out.String()
}

// changeWriter accumulates the text of a change.
type changeWriter struct {
	out strings.Builder
	// noBase is set if the document before the change is unknown.
	noBase bool
}

// writeItems writes the removed, new and changed items of one kind.
func writeItems[T any](w *changeWriter, kind string, old []T, delta config.Delta[T], key func(T) string) {
	for _, id := range delta.Remove {
		fmt.Fprintf(&w.out, "- %s %s\n", kind, id)
	}
	for _, item := range delta.Put {
		index := slices.IndexFunc(old, func(o T) bool { return key(o) == key(item) })
		switch {
		case index >= 0:
			w.writeFields("~ "+kind+" "+key(item), old[index], item)
		case w.noBase:
			w.writeFields("~ "+kind+" "+key(item), nil, item)
		default:
			w.writeFields("+ "+kind+" "+key(item), nil, item)
		}
	}
}

// writeSection writes a section of the rules if the change replaces it.
func writeSection[T any](w *changeWriter, name string, old T, updated *T) {
	if updated != nil {
		w.writeFields("~ "+name, old, *updated)
	}
}

// writeFields writes a title and the fields that differ, each with its old and
// new value.
func (w *changeWriter) writeFields(title string, old, updated any) {
	fmt.Fprintf(&w.out, "%s\n", title)
	oldFields, newFields := encodeFields(old), encodeFields(updated)
	names := make([]string, 0, len(newFields))
	for name := range newFields {
		names = append(names, name)
	}
	for name := range oldFields {
		if _, kept := newFields[name]; !kept {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		if string(oldFields[name]) != string(newFields[name]) {
			w.writeField(name, oldFields[name], newFields[name])
		}
	}
}

func (w *changeWriter) writeField(name string, oldValue, newValue json.RawMessage) {
	switch {
	case w.noBase || len(oldValue) == 0:
		fmt.Fprintf(&w.out, "    %s: %s\n", name, newValue)
	case len(newValue) == 0:
		fmt.Fprintf(&w.out, "    %s: %s -> unset\n", name, oldValue)
	default:
		fmt.Fprintf(&w.out, "    %s: %s -> %s\n", name, oldValue, newValue)
	}
}

// encodeFields returns the JSON of each field of a struct. A value that is not a
// JSON object, such as a list, is returned whole as the field "list".
func encodeFields(value any) map[string]json.RawMessage {
	encoded, err := json.Marshal(value)
	if err != nil || value == nil {
		return nil
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(encoded, &fields) != nil {
		return map[string]json.RawMessage{"list": encoded}
	}
	return fields
}
