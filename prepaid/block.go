package prepaid

import "time"

const (
	// blockTime is how long a block is used, and the spending time that it covers.
	blockTime = time.Second

	// maxBlockPart is the part of a budget that all open blocks of one holder may hold
	// together: one in maxBlockPart tokens. All holders of a workspace lend at most a
	// hundredth of its budget in blocks. minBlocks is how many blocks fit in it: the open one
	// of a router and its next one.
	maxBlockPart = 1000
	minBlocks    = 2

	// lowBlockPart is the part of a block from which the next one is reserved.
	lowBlockPart = 2
)

// BlockLimit returns the tokens that the open blocks of one holder may have together.
func BlockLimit(budget int64) int64 { return budget / maxBlockPart }

// Block is credit that a router holds at a holder for requests that are still to come. It
// answers the load of a router that presses and whose calls to holders are slow: it needs one
// call for several requests. While it is open it counts in full at the holder; once closed it
// counts what its requests used or may still use. It is pure and not safe for concurrent use.
type Block struct {
	tokens int64
	until  time.Time
	closed bool
	// used is final, held is the sum of the reservations of open requests.
	used, held int64
}

// NewBlock returns an open block of tokens that were reserved at a holder.
func NewBlock(now time.Time, tokens int64) *Block {
	return &Block{tokens: tokens, until: now.Add(blockTime)}
}

// Take holds tokens for a request. It returns false if the block doesn't cover them.
func (b *Block) Take(now time.Time, tokens int64) bool {
	if b.closed || !now.Before(b.until) || b.left() < tokens {
		return false
	}
	b.held += tokens
	return true
}

func (b *Block) left() int64 { return b.tokens - b.used - b.held }

// Low reports whether the next block should be reserved.
func (b *Block) Low() bool { return b.closed || b.left() < b.tokens/lowBlockPart }

// Settle ends the reservation of a request and records the tokens used, at most those held.
func (b *Block) Settle(held, used int64) {
	b.held -= held
	b.used += min(max(used, 0), held)
}

// Close ends the use of the block for further requests. It returns the tokens that it keeps.
func (b *Block) Close() (keeps int64) {
	b.closed = true
	return b.used + b.held
}

// Closed reports whether Close was called.
func (b *Block) Closed() bool { return b.closed }

// Ended reports whether the block is closed and its last request has ended, and the tokens
// that its requests used.
func (b *Block) Ended() (used int64, ended bool) { return b.used, b.closed && b.held == 0 }

// BlockTime is how long a block is used.
func BlockTime() time.Duration { return blockTime }

// BlockSize returns the tokens of the next block of a workspace, 0 if too few of its requests
// come to this process.
func (b *Book) BlockSize(now time.Time, workspace string) int64 {
	a := b.accounts[workspace]
	if a == nil {
		return 0
	}
	a.decay(now)
	if a.callRate < joinRate {
		return 0
	}
	return min(int64(a.rate(now)*blockTime.Seconds()), BlockLimit(a.budget)/minBlocks)
}

// BlockSize returns the tokens of the next block of a workspace, 0 for none.
func (s *Service) BlockSize(workspace string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.BlockSize(time.Now(), workspace)
}
