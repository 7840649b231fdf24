package limit

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"jackdawswitch/config"
)

// testDocument returns a document with one workspace "w", and for each region a
// router in it and an agent in a region that has no router.
func testDocument(regions, partitions int, limit config.Limit) *config.Document {
	doc := &config.Document{}
	limit.Workspace = "w"
	doc.Rules.Limits = []config.Limit{limit}
	doc.Register.Workspaces = []config.Workspace{{ID: "w", Partitions: partitions}}
	for i := range regions {
		domain := fmt.Sprint("d", i)
		doc.Register.FailureDomains = append(doc.Register.FailureDomains,
			config.FailureDomain{ID: domain, Region: fmt.Sprint("r", i)},
			config.FailureDomain{ID: domain + "-agents", Region: fmt.Sprint("agents", i)})
		doc.Register.VMs = append(doc.Register.VMs,
			config.VM{ID: "v" + domain, FailureDomain: domain, Role: config.RoleRouter},
			config.VM{ID: "a" + domain, FailureDomain: domain + "-agents", Role: config.RoleAgent})
	}
	return doc
}

// TestSharesAddUpToTheLimit guards against a division that lets the fleet admit more
// or less than the limit. Only a concurrency limit below the number of shares may be
// exceeded, as each share is at least 1.
func TestSharesAddUpToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions := rapid.IntRange(1, 5).Draw(t, "regions")
		partitions := rapid.IntRange(0, 16).Draw(t, "partitions")
		limit := config.Limit{
			RequestsPerSecond: rapid.Float64Range(0.1, 1000).Draw(t, "requests"),
			TokensPerSecond:   rapid.Float64Range(0, 1000).Draw(t, "tokens"),
			Concurrency:       rapid.IntRange(1, 200).Draw(t, "concurrency"),
		}
		doc := testDocument(regions, partitions, limit)
		var sum Share
		for i := range regions {
			plan := NewPlan(doc, fmt.Sprint("r", i))
			for partition := range max(partitions, 1) {
				share := plan.Share("w", uint32(partition))
				if share.Concurrency < 1 {
					t.Fatalf("partition %d in region %d has a concurrency below 1", partition, i)
				}
				sum.Concurrency += share.Concurrency
				sum.RequestsPerSecond += share.RequestsPerSecond
				sum.TokensPerSecond += share.TokensPerSecond
			}
		}
		if want := max(limit.Concurrency, regions*max(partitions, 1)); sum.Concurrency != want {
			t.Fatalf("the shares of the concurrency add up to %d, want %d", sum.Concurrency, want)
		}
		if !almostEqual(sum.RequestsPerSecond, limit.RequestsPerSecond) || !almostEqual(sum.TokensPerSecond, limit.TokensPerSecond) {
			t.Fatalf("the shares of the rates add up to %v, want %v", sum, limit)
		}
	})
}

func almostEqual(a, b float64) bool { return a-b < 1e-6 && b-a < 1e-6 }

func TestUnlimitedWorkspaceHasNoShare(t *testing.T) {
	plan := NewPlan(testDocument(2, 3, config.Limit{Concurrency: 1}), "r0")
	if share := plan.Share("other", 0); share != (Share{}) {
		t.Fatalf("a workspace without a limit has the share %v", share)
	}
}
