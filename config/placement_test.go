package config_test

import (
	"testing"

	"jackdawswitch/config"
)

func TestPlacementRulesAreCheckedAndOffByDefault(t *testing.T) {
	doc, err := config.Decode([]byte(`{"register":{},"rules":{}}`))
	if err != nil || doc.Rules.Placement.Enabled || doc.Rules.Placement != config.DefaultRules().Placement {
		t.Fatalf("got %+v, %v; want the default placement rules, disabled", doc, err)
	}
	for _, faulty := range []string{
		`"headroom":0.5`, `"headroom":11`, `"maxLoading":0`, `"modelsPerEndpoint":0`,
		`"loadIntervalSeconds":0`, `"holdDownSeconds":-1`,
	} {
		if _, err := config.Decode([]byte(`{"register":{},"rules":{"placement":{` + faulty + `}}}`)); err == nil {
			t.Errorf("%s is accepted", faulty)
		}
	}
	enabled, err := config.Decode([]byte(`{"register":{},"rules":{"placement":{"enabled":true}}}`))
	if err != nil {
		t.Fatal(err)
	}
	if change := config.Diff(doc, enabled); change.Placement == nil || change.Empty() {
		t.Errorf("the change of the placement rules is missing: %+v", change)
	}
}
