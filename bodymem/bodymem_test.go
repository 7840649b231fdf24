package bodymem

import (
	"errors"
	"io"
	"strings"
	"testing"
)

// TestReadTakesMemoryBeforeItGrows checks the memory, the limit and the end of bodies.
func TestReadTakesMemoryBeforeItGrows(t *testing.T) {
	budget := NewBudget(100_000)
	var taken int64
	take := func(bytes int64) bool {
		if !budget.Take(bytes) {
			return false
		}
		taken += bytes
		return true
	}
	body, err := Read(strings.NewReader(strings.Repeat("x", 5000)), 10_000, take)
	if err != nil || len(body) != 5000 || taken < 5000 || taken > 10_001 {
		t.Errorf("%d bytes in %d, error %v", len(body), taken, err)
	}
	if _, err := Read(strings.NewReader(strings.Repeat("x", 10_001)), 10_000, take); !errors.Is(err, TooLargeError{}) {
		t.Errorf("error %v, want that the body is too large", err)
	}
	if _, err := Read(strings.NewReader(strings.Repeat("x", 200_000)), 1<<20, take); !errors.Is(err, NoMemoryError{}) {
		t.Errorf("error %v, want that no memory is left", err)
	}
	if _, err := Read(io.MultiReader(strings.NewReader("x"), brokenReader{}), 10, func(int64) bool { return true }); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("error %v, want that of the reader", err)
	}
	budget.Release(taken)
	if !budget.Take(200_000) || budget.Take(1) {
		t.Error("a body that is larger than the budget is read alone")
	}
}

type brokenReader struct{}

// Read implements io.Reader.
func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
