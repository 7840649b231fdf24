package direct

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/prepaid"
)

// blockRetryDelay is how long no block is asked for after a holder had none.
const blockRetryDelay = 500 * time.Millisecond

// creditBlock is a block of credit at a holder.
type creditBlock struct {
	*prepaid.Block
	reservation reservation
	// settled is set once the settlement of the ended block is on its way.
	settled bool
}

// creditBlocks are the blocks of credit that this router reserved at holders.
type creditBlocks struct {
	taken, returned, requests tally.Counter

	mu sync.Mutex
	// current are the open blocks, and notBefore the times from which the next one may be
	// asked for, by workspace. fetching is set during the call for one.
	current   map[string]*creditBlock
	notBefore map[string]time.Time
	fetching  map[string]bool
	stopped   bool
	tasks     sync.WaitGroup
}

func newCreditBlocks(metrics tally.Scope) *creditBlocks {
	return &creditBlocks{
		taken: metrics.Counter("credit_blocks_taken"), returned: metrics.Counter("credit_block_tokens_returned"),
		requests: metrics.Counter("credit_of_blocks"), current: make(map[string]*creditBlock),
		notBefore: make(map[string]time.Time), fetching: make(map[string]bool),
	}
}

// takeFromBlock holds tokens of the workspace's open block for a request.
func (c *fleetCredit) takeFromBlock(req creditRequest) (reservation, bool) {
	k := c.blocks
	k.mu.Lock()
	block := k.current[req.workspace]
	if block == nil || !block.Take(time.Now(), req.tokens) {
		k.mu.Unlock()
		return reservation{}, false
	}
	low := block.Low()
	k.mu.Unlock()
	k.requests.Inc(1)
	c.service.NoteDemand(req.workspace, req.tokens)
	if low {
		c.fetchBlock(block.reservation.holder, req)
	}
	return reservation{workspace: req.workspace, tokens: req.tokens, holder: block.reservation.holder, id: block.reservation.id, block: block}, true
}

// fetchBlock reserves the next block of a workspace at a holder if many of its requests come
// to this router and the block would cover one like the given one. It doesn't wait for the
// answer.
func (c *fleetCredit) fetchBlock(holder prepaid.ProcessID, req creditRequest) {
	size := c.service.BlockSize(req.workspace)
	if size < req.tokens || !c.blocks.startFetch(req.workspace) {
		return
	}
	req.tokens, req.block = size, true
	go func() {
		defer c.blocks.tasks.Done()
		answer, _ := c.reserveAt(context.Background(), holder, req, 0)
		c.finishFetch(req.workspace, answer)
	}()
}

// startFetch reports whether a block may be asked for now. If so, close waits until
// tasks.Done.
func (k *creditBlocks) startFetch(workspace string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if block := k.current[workspace]; k.stopped || k.fetching[workspace] || time.Now().Before(k.notBefore[workspace]) || block != nil && !block.Low() {
		return false
	}
	k.fetching[workspace] = true
	k.tasks.Add(1)
	return true
}

// finishFetch opens the block that was reserved and closes the one before.
func (c *fleetCredit) finishFetch(workspace string, answer creditAnswer) {
	k := c.blocks
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.fetching, workspace)
	if answer.result != prepaid.Reserved {
		k.notBefore[workspace] = time.Now().Add(blockRetryDelay)
		return
	}
	delete(k.notBefore, workspace)
	k.taken.Inc(1)
	block := &creditBlock{Block: prepaid.NewBlock(time.Now(), answer.reservation.tokens), reservation: answer.reservation}
	last := k.current[workspace]
	k.current[workspace] = block
	if last != nil {
		c.closeBlock(last)
	}
	if k.stopped {
		c.closeBlock(block)
		return
	}
	time.AfterFunc(prepaid.BlockTime(), func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		c.closeBlock(block)
	})
}

// closeBlock gives back what no request holds of a block. The caller holds the lock.
func (c *fleetCredit) closeBlock(block *creditBlock) {
	if block.Closed() {
		return
	}
	if k := c.blocks; k.current[block.reservation.workspace] == block {
		delete(k.current, block.reservation.workspace)
	}
	keeps := block.Close()
	c.blocks.returned.Inc(block.reservation.tokens - keeps)
	if _, ended := block.Ended(); !ended {
		c.settler.add(block.reservation.holder, &pb.CreditSettlement{Reservation: block.reservation.id, Keeps: keeps})
	}
	c.settleEnded(block)
}

// settleEnded settles a block whose last request has ended. The caller holds the lock.
func (c *fleetCredit) settleEnded(block *creditBlock) {
	if used, ended := block.Ended(); ended && !block.settled {
		block.settled = true
		c.settler.add(block.reservation.holder, &pb.CreditSettlement{Reservation: block.reservation.id, Used: used})
	}
}

// settleInBlock ends the reservation of a request that a block covers.
func (c *fleetCredit) settleInBlock(r reservation, used int64) {
	c.blocks.mu.Lock()
	defer c.blocks.mu.Unlock()
	r.block.Settle(r.tokens, used)
	c.settleEnded(r.block)
}

// close gives back the blocks and sends the settlements that are pending once.
func (c *fleetCredit) close() {
	c.blocks.mu.Lock()
	c.blocks.stopped = true
	c.blocks.mu.Unlock()
	c.blocks.tasks.Wait()
	c.blocks.mu.Lock()
	for _, block := range c.blocks.current {
		c.closeBlock(block)
	}
	c.blocks.mu.Unlock()
	c.settler.close()
}
