package config

func (c *checker) checkLots(lots []Lot) {
	c.Require(len(lots) <= maxListEntries, "$.register.lots", "more than %d lots", maxListEntries)
	seen := make(map[string]bool, len(lots))
	for i, lot := range lots {
		path := elementPath("$.register.lots", i)
		c.checkID(path+".id", lot.ID)
		c.Require(c.workspaces[lot.Workspace], path+".workspace",
			"there is no workspace %q", lot.Workspace)
		checkUnique(c, seen, path+".id", lot.Workspace+"/"+lot.ID)
		c.checkIntRange(path+".budget", lot.Budget, 0, maxBudget)
		c.Require(!lot.Expires.IsZero(), path+".expires", "a lot needs a time at which it expires")
	}
}

func (c *checker) checkLimits(limits []Limit) {
	seen := make(map[string]bool, len(limits))
	for i, limit := range limits {
		path := elementPath("$.rules.limits", i)
		c.Require(c.workspaces[limit.Workspace], path+".workspace",
			"there is no workspace %q", limit.Workspace)
		checkUnique(c, seen, path+".workspace", limit.Workspace)
		c.Require(limit.RequestsPerSecond >= 0, path+".requestsPerSecond", "must not be negative")
		c.Require(limit.TokensPerSecond >= 0, path+".tokensPerSecond", "must not be negative")
		c.Require(limit.Concurrency >= 0, path+".concurrency", "must not be negative")
		c.Require(limit.Weight >= 0, path+".weight", "must not be negative")
	}
}

func (c *checker) checkPriorities(priorities []Priority) {
	for i, priority := range priorities {
		path := elementPath("$.rules.priorities", i)
		known := priority.Workspace == "" || c.workspaces[priority.Workspace]
		c.Require(known, path+".workspace", "there is no workspace %q", priority.Workspace)
		known = priority.Service == "" || c.services[priority.Service] != nil
		c.Require(known, path+".service", "there is no service %q", priority.Service)
		c.checkIntRange(path+".level", int64(priority.Level), -maxPriorityLevel, maxPriorityLevel)
		c.Require(!shadowed(priorities[:i], priority), path, "an earlier priority matches every request that this one matches")
	}
}

func shadowed(earlier []Priority, priority Priority) bool {
	for _, e := range earlier {
		workspace := e.Workspace == "" || e.Workspace == priority.Workspace
		service := e.Service == "" || e.Service == priority.Service
		if workspace && service {
			return true
		}
	}
	return false
}

// checkDuration checks that a duration is above 0 and within the maximum.
func (c *checker) checkDuration(path string, seconds float64) {
	c.Require(seconds > 0 && seconds <= maxDurationSeconds, path,
		"%v is not above 0 and at most %d seconds", seconds, maxDurationSeconds)
}

func (c *checker) checkCredit(credit CreditPolicy) {
	path := "$.rules.credit"
	c.checkDuration(path+".horizonSeconds", credit.HorizonSeconds)
	c.checkIntRange(path+".minimumGrant", credit.MinimumGrant, 1, maxBudget)
	c.Require(credit.Taper > 0 && credit.Taper <= 1, path+".taper", "%v is not above 0 and at most 1", credit.Taper)
	c.checkDuration(path+".settleSeconds", credit.SettleSeconds)
}

func (c *checker) checkRequests(requests RequestRules) {
	path := "$.rules.requests"
	c.checkDuration(path+".deadlineSeconds", requests.DeadlineSeconds)
	c.checkDuration(path+".queueSeconds", requests.QueueSeconds)
	c.Require(requests.QueueSeconds <= requests.DeadlineSeconds, path+".queueSeconds",
		"is longer than deadlineSeconds")
	c.checkIntRange(path+".maxBodyBytes", requests.MaxBodyBytes, 1, maxBodyBytes)
	c.checkDuration(path+".keepSeconds", requests.KeepSeconds)
	c.checkIntRange(path+".keepBytes", requests.KeepBytes, 1, maxBudget)
	c.checkIntRange(path+".crashLimit", int64(requests.CrashLimit), 1, maxAttempts)
	c.checkDuration(path+".quarantineSeconds", requests.QuarantineSeconds)
}

func (c *checker) checkRouting(routing RoutingRules) {
	path := "$.rules.routing"
	c.checkRange(path+".retryBudget", routing.RetryBudget, 0, 1)
	c.checkIntRange(path+".attempts", int64(routing.Attempts), 1, maxAttempts)
	c.checkIntRange(path+".affinityPrefixBytes", int64(routing.AffinityPrefixBytes), 0, maxAffinityPrefixBytes)
	c.checkRange(path+".slowStartSeconds", routing.SlowStartSeconds, 0, maxDurationSeconds)
	c.checkIntRange(path+".subsetSize", int64(routing.SubsetSize), 0, maxListEntries)
}

func (c *checker) checkPlacement(placement PlacementRules) {
	path := "$.rules.placement"
	c.checkIntRange(path+".modelsPerEndpoint", int64(placement.ModelsPerEndpoint), 1, maxSlots)
	c.checkDuration(path+".loadIntervalSeconds", placement.LoadIntervalSeconds)
	c.checkIntRange(path+".maxLoading", int64(placement.MaxLoading), 1, maxSlots)
	c.checkDuration(path+".holdDownSeconds", placement.HoldDownSeconds)
	c.checkRange(path+".headroom", placement.Headroom, 1, maxHeadroom)
}
