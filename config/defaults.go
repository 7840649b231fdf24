package config

const (
	defaultHorizonSeconds      = 60
	defaultMinimumGrant        = 1000
	defaultTaper               = 0.25
	defaultSettleSeconds       = 5
	defaultDeadlineSeconds     = 300
	defaultQueueSeconds        = 30
	defaultMaxBodyBytes        = 1 << 20
	defaultKeepSeconds         = 600
	defaultKeepBytes           = 64 << 20
	defaultCrashLimit          = 2
	defaultQuarantineSeconds   = 3600
	defaultRetryBudget         = 0.1
	defaultAttempts            = 3
	defaultAffinityPrefixBytes = 1024
	defaultSlowStartSeconds    = 10
	defaultModelsPerEndpoint   = 1
	defaultLoadIntervalSeconds = 20
	defaultMaxLoading          = 2
	defaultHoldDownSeconds     = 180
	defaultHeadroom            = 1.25
)

// DefaultRules returns the rules that apply where operators declare none.
func DefaultRules() Rules {
	return Rules{
		Credit: CreditPolicy{
			HorizonSeconds: defaultHorizonSeconds,
			MinimumGrant:   defaultMinimumGrant,
			Taper:          defaultTaper,
			SettleSeconds:  defaultSettleSeconds,
		},
		Requests: RequestRules{
			DeadlineSeconds:   defaultDeadlineSeconds,
			QueueSeconds:      defaultQueueSeconds,
			MaxBodyBytes:      defaultMaxBodyBytes,
			KeepSeconds:       defaultKeepSeconds,
			KeepBytes:         defaultKeepBytes,
			CrashLimit:        defaultCrashLimit,
			QuarantineSeconds: defaultQuarantineSeconds,
		},
		Routing: RoutingRules{
			RetryBudget:         defaultRetryBudget,
			Attempts:            defaultAttempts,
			AffinityPrefixBytes: defaultAffinityPrefixBytes,
			SlowStartSeconds:    defaultSlowStartSeconds,
		},
		Placement: PlacementRules{
			ModelsPerEndpoint:   defaultModelsPerEndpoint,
			LoadIntervalSeconds: defaultLoadIntervalSeconds,
			MaxLoading:          defaultMaxLoading,
			HoldDownSeconds:     defaultHoldDownSeconds,
			Headroom:            defaultHeadroom,
		},
	}
}

// FillDefaults sets each group of rules that is zero as a whole to its
// defaults. Decode sets defaults field by field instead, since it sees which
// fields the text omits.
func (r *Rules) FillDefaults() {
	defaults := DefaultRules()
	if r.Credit == (CreditPolicy{}) {
		r.Credit = defaults.Credit
	}
	if r.Requests == (RequestRules{}) {
		r.Requests = defaults.Requests
	}
	if r.Routing == (RoutingRules{}) {
		r.Routing = defaults.Routing
	}
	if r.Placement == (PlacementRules{}) {
		r.Placement = defaults.Placement
	}
}
