package refusal

import (
	"go/ast"
	"go/parser"
	"go/token"
	"strconv"
	"testing"

	"github.com/sebdah/goldie/v2"
)

func TestTableOfCauses(t *testing.T) {
	g := goldie.New(t, goldie.WithFixtureDir("../docs/operate"), goldie.WithNameSuffix(".md"))
	g.Assert(t, "refusals", []byte(MarkdownPage()))
}

// TestEveryCauseHasOneRule reads the Cause constants from the source, so that a
// cause added without a rule fails the test.
func TestEveryCauseHasOneRule(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "refusal.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	count := make(map[Cause]int)
	for _, rule := range Rules() {
		count[rule.Cause]++
		if len(rule.RunStates) == 0 || rule.Status < 400 || rule.Meaning == "" {
			t.Errorf("incomplete rule for cause %s", rule.Cause)
		}
	}
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		if kind, ok := spec.Type.(*ast.Ident); !ok || kind.Name != "Cause" {
			return true
		}
		value, _ := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		if count[Cause(value)] != 1 {
			t.Errorf("cause %s has %d rules, want 1", value, count[Cause(value)])
		}
		return true
	})
}
