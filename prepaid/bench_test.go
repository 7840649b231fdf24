package prepaid_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"jackdawswitch/prepaid"
)

// benchBook returns a book with grants of n workspaces and a statement in force for them.
func benchBook(n int) (*prepaid.Book, []string, time.Time) {
	b := prepaid.NewBook("vm", 1, prepaid.DefaultPolicy())
	budgets := make(map[string]int64, n)
	names := make([]string, n)
	for i := range n {
		names[i] = fmt.Sprint("workspace-", i)
		budgets[names[i]] = 1 << 40
	}
	b.SetBudgets(budgets)
	now := time.Unix(1_000_000, 0)
	b.Start(prepaid.Statement{}, 0, now.UnixMilli(), prepaid.RecalledLimits{})
	for _, name := range names {
		if w := b.PlanUpdate(now, name, prepaid.Row{}, 0); w != nil {
			b.WriteCommitted(now, w, 1)
		}
	}
	s, _ := b.NextStatement(now, now.UnixMilli())
	b.StatementCommitted(s.Sequence, 2)
	return b, names, now
}

// BenchmarkReserve measures a reservation and its settlement.
func BenchmarkReserve(b *testing.B) {
	book, names, now := benchBook(1500)
	b.ReportAllocs()
	for i := range b.N {
		name := names[i%len(names)]
		if book.Reserve(now, name, 100) == prepaid.Reserved {
			book.Settle(name, 100, 0)
		}
	}
}

// BenchmarkStatement measures making and encoding a statement, and reports its size in
// bytes per workspace.
func BenchmarkStatement(b *testing.B) {
	for _, n := range []int{10, 150, 1500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			book, _, now := benchBook(n)
			b.ReportAllocs()
			size := 0
			for range b.N {
				s, _ := book.NextStatement(now, now.UnixMilli())
				data, err := s.Encode()
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
				book.StatementCommitted(s.Sequence, 3)
			}
			b.ReportMetric(float64(size)/float64(n), "bytes/workspace")
		})
	}
}

// BenchmarkDue measures the check for a due statement and due accounts.
func BenchmarkDue(b *testing.B) {
	book, _, now := benchBook(1500)
	for range b.N {
		book.StatementDue(now)
		book.AccountsDue(now)
	}
}

// BenchmarkCandidates measures the choice of the holders to ask for one request.
func BenchmarkCandidates(b *testing.B) {
	for _, n := range []int{5, 103, 360} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			all := members(n, 5)
			fleet := prepaid.NewFleet(all)
			for b.Loop() {
				fleet.Candidates("workspace", all[0])
			}
		})
	}
}

// BenchmarkNewFleet measures what each router that joins costs the others.
func BenchmarkNewFleet(b *testing.B) {
	for _, n := range []int{5, 103, 360} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			all := members(n, 5)
			for b.Loop() {
				prepaid.NewFleet(all)
			}
		})
	}
}
