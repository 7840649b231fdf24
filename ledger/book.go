package ledger

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Book is the credit state of one holder: the lots that it knows, its grants of
// credit from these lots, and the slots that it issued. A Book is not safe for
// concurrent use.
type Book struct {
	self   Holder
	region string
	policy Policy

	workspaces      map[string]*workspace
	grants          map[string]*grant
	lastGrantNumber uint64
	lastWriteNumber uint64

	// receiptBytes is the estimated memory of open slots and of bills that are
	// not durable yet.
	receiptBytes    int64
	openSlotCount   int
	maxReceiptBytes int64
}

// MaxReceiptBytes is the default limit on the estimated memory, in bytes, of
// open slots and of bills that are not durable yet.
const MaxReceiptBytes = 64 << 20

// NewBook returns an empty book with the default policy. The region is written
// to the rows of the holder's grants.
func NewBook(self Holder, region string) *Book {
	return &Book{
		self:            self,
		region:          region,
		policy:          NewPolicy(emptyRules),
		workspaces:      make(map[string]*workspace),
		grants:          make(map[string]*grant),
		maxReceiptBytes: MaxReceiptBytes,
	}
}

// SetPolicy replaces the policy for all later decisions.
func (b *Book) SetPolicy(p Policy) { b.policy = p }

// SetMaxReceiptBytes replaces MaxReceiptBytes as the limit of this book.
func (b *Book) SetMaxReceiptBytes(bytes int64) { b.maxReceiptBytes = bytes }

type workspace struct {
	id string
	// lots are sorted by expiry, then by ID.
	lots []*lot
	// listedAt is the time of the last read of all lot rows of the workspace.
	listedAt time.Time
}

// lot is the holder's state of one lot.
type lot struct {
	row     LotRow
	version uint64
	// observedAt is the time of the last read or write of the row.
	observedAt time.Time
	// grant is the grant that new slots are issued from, nil for none.
	grant *grant
	// surplusGrants are adopted grants that no new slots are issued from. Their
	// credit is returned to the lot.
	surplusGrants []*grant
	meter         spendMeter
	// waitingCredits is the total credit of requests that wait for a grant.
	waitingCredits int64
	// lastUsed is the time of the last reservation that was granted or had to wait.
	lastUsed time.Time
	// returnCredits is the credit to return because another holder asked for it.
	returnCredits int64
	// quietUntil is the time before which the grant is extended only for waiting
	// requests.
	quietUntil time.Time
	// writeInFlight is set while the outcome of a transaction on the row is
	// unknown.
	writeInFlight bool
}

// ungranted returns the credit that the lot can still grant.
func (l *lot) ungranted() int64 {
	if l.row.Retired {
		return 0
	}
	return l.row.Budget - l.row.Committed
}

// expired reports whether the lot may have expired by the clock of any process.
func (l *lot) expired(now time.Time) bool {
	return !now.Add(MaxClockSkew).Before(l.row.Expires)
}

// ensureWorkspace returns the workspace, which it adds to the book if needed.
func (b *Book) ensureWorkspace(id string) *workspace {
	ws := b.workspaces[id]
	if ws == nil {
		ws = &workspace{id: id}
		b.workspaces[id] = ws
	}
	return ws
}

func (ws *workspace) lot(id string) *lot {
	for _, l := range ws.lots {
		if l.row.Lot == id {
			return l
		}
	}
	return nil
}

// ObserveLot records a lot row that was read at the given time or later. A
// version older than the known one is ignored.
func (b *Book) ObserveLot(row LotRow, version uint64, at time.Time) {
	ws := b.ensureWorkspace(row.Workspace)
	l := ws.lot(row.Lot)
	if l == nil {
		l = &lot{}
		ws.lots = append(ws.lots, l)
	}
	if version < l.version {
		return
	}
	if at.After(l.observedAt) {
		l.observedAt = at
	}
	l.row = row
	l.version = version
	ws.sortLots()
}

func (ws *workspace) sortLots() {
	slices.SortStableFunc(ws.lots, func(x, y *lot) int {
		return cmp.Or(x.row.Expires.Compare(y.row.Expires), cmp.Compare(x.row.Lot, y.row.Lot))
	})
}

// MarkListed records that all lot rows of a workspace were read at the given time
// or later.
func (b *Book) MarkListed(id string, at time.Time) {
	ws := b.ensureWorkspace(id)
	if at.After(ws.listedAt) {
		ws.listedAt = at
	}
}

// LastListed returns the time of the last read of all lot rows of a workspace. It
// is zero for an unknown workspace and when a new read is required.
func (b *Book) LastListed(workspace string) time.Time {
	ws := b.workspaces[workspace]
	if ws == nil {
		return time.Time{}
	}
	return ws.listedAt
}

// InvalidateListing marks the known lot rows of a workspace as outdated: they must
// be read again before a reservation is refused for lack of credit.
func (b *Book) InvalidateListing(workspace string) {
	if ws := b.workspaces[workspace]; ws != nil {
		ws.listedAt = time.Time{}
	}
}

// Workspaces returns the sorted IDs of the workspaces that the book knows.
func (b *Book) Workspaces() []string {
	ids := make([]string, 0, len(b.workspaces))
	for id := range b.workspaces {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// SettleInterval returns the policy's interval between settlement batches.
func (b *Book) SettleInterval() time.Duration { return b.policy.SettleInterval }

// ReceiptBytes returns the estimated memory, in bytes, of open slots and of bills
// that are not durable yet.
func (b *Book) ReceiptBytes() int64 { return b.receiptBytes }

// OpenSlotCount returns the number of issued slots that have neither a receipt nor
// a release.
func (b *Book) OpenSlotCount() int { return b.openSlotCount }

// NextGrantNumber returns the number of the next grant that this process opens.
func (b *Book) NextGrantNumber() uint64 { return b.lastGrantNumber + 1 }

// WriteID returns a transaction ID that no other process and no other
// incarnation of this one uses.
func (b *Book) WriteID() string {
	b.lastWriteNumber++
	return fmt.Sprintf("credit.%s.%d.%d", b.self.VM, b.self.Incarnation, b.lastWriteNumber)
}

func (b *Book) grantID() string {
	b.lastGrantNumber++
	return GrantID(b.self, b.lastGrantNumber)
}
