package direct

import (
	"time"

	"jackdawswitch/prepaid"
)

// UnreadyReason is a reason for which a router reports itself unready.
type UnreadyReason string

// The reasons. The last three are of the load: the latest one that was seen holds until the
// router is ready again.
const (
	UnreadyDraining  UnreadyReason = "draining"
	UnreadyNoConfig  UnreadyReason = "no configuration"
	UnreadyNoList    UnreadyReason = "no list of endpoints"
	UnreadyProcessor UnreadyReason = "processor overloaded"
	UnreadyLink      UnreadyReason = "link full"
	UnreadyStalled   UnreadyReason = "process stalled"
)

// Pressure is the load of a router's processor and link. Shares are from 0 to 1.
type Pressure struct {
	// ShedShare is the share of streamed requests that the router refuses, LinkShare that
	// of the link's rate in use, 0 if the link is not limited.
	ShedShare float64 `json:"shedShare"`
	LinkShare float64 `json:"linkShare"`
	// LagMS is the mean lateness of a timer, EventHoldMS how long a stream waits before its
	// next read; both in milliseconds.
	LagMS       float64 `json:"lagMs"`
	EventHoldMS float64 `json:"eventHoldMs"`
}

// CreditAccount is one account in the dump.
type CreditAccount struct {
	prepaid.AccountView
	Unspent int64 `json:"unspent"`
	// RowAgeMS is the time since the account's row was last read or written, and
	// StatementAgeMS that since the confirmed statement was made, in milliseconds.
	RowAgeMS       int64 `json:"rowAgeMs"`
	StatementAgeMS int64 `json:"statementAgeMs"`
}

// loadReason returns the first reason of the load that holds now, or an empty string.
func loadReason(refused, link float64, stalled bool) UnreadyReason {
	switch {
	case stalled:
		return UnreadyStalled
	case link >= maxLinkShare:
		return UnreadyLink
	case refused >= saturatedShare:
		return UnreadyProcessor
	default:
		return ""
	}
}

// recordLoad stores what the dump shows of a sample.
func (o *overload) recordLoad(lag time.Duration, reason UnreadyReason) {
	o.lag.Store(int64(lag))
	if reason != "" {
		o.reason.Store(reason)
	}
}

// pressure returns the load for the dump.
func (r *Router) pressure() Pressure {
	return Pressure{
		ShedShare:   float64(r.overload.sharePPM.Load()) / 1e6,
		LinkShare:   float64(r.late.linkPPM.Load()) / 1e6,
		LagMS:       time.Duration(r.overload.lag.Load()).Seconds() * 1e3,
		EventHoldMS: time.Duration(r.overload.eventHold.Load()).Seconds() * 1e3,
	}
}

// unreadyReasons returns the reasons for which Ready is false.
func (r *Router) unreadyReasons() []UnreadyReason {
	reasons := []UnreadyReason{}
	if r.draining.Load() {
		reasons = append(reasons, UnreadyDraining)
	}
	if r.config.Load() == nil {
		reasons = append(reasons, UnreadyNoConfig)
	}
	if !r.hasEndpointList() {
		reasons = append(reasons, UnreadyNoList)
	}
	if reason, ok := r.overload.reason.Load().(UnreadyReason); ok && r.overload.saturated.Load() {
		reasons = append(reasons, reason)
	}
	return reasons
}

// creditAccounts returns the accounts for the dump.
func (r *Router) creditAccounts() []CreditAccount {
	views := r.credit.Accounts()
	out := make([]CreditAccount, 0, len(views))
	for _, view := range views {
		d := r.credit.Describe(view.Workspace)
		out = append(out, CreditAccount{
			AccountView: view, Unspent: view.Amount - view.Spent - view.Reserved,
			RowAgeMS: d.RowAge.Milliseconds(), StatementAgeMS: d.StatementAge.Milliseconds(),
		})
	}
	return out
}
