package orders

import (
	"github.com/zeebo/xxh3"

	"jackdawswitch/config"
	"jackdawswitch/placement"
)

// target is an endpoint that may receive orders.
type target struct {
	address string
	engine  placement.Engine
}

// serviceConfig is the register's data and the placement rules for one service in one
// region.
type serviceConfig struct {
	rules   config.PlacementRules
	models  []string
	targets map[string]target
}

// serviceConfigs returns the configuration, by service ID, of each model service with
// endpoints in a region. It returns none if placement is disabled.
func serviceConfigs(doc *config.Document, region string) map[string]serviceConfig {
	configs := make(map[string]serviceConfig)
	rules := doc.Rules.Placement
	if !rules.Enabled {
		return configs
	}
	for _, service := range doc.Register.Services {
		if service.Kind != config.KindModel {
			continue
		}
		cfg := serviceConfig{rules: rules, targets: make(map[string]target)}
		for _, model := range service.Models {
			cfg.models = append(cfg.models, model.ID)
		}
		configs[service.ID] = cfg
	}
	addresses := agentAddresses(doc, region)
	for _, e := range doc.Register.Endpoints {
		cfg, ok := configs[e.Service]
		address, here := addresses[e.VM]
		if !ok || !here {
			continue
		}
		allowed := e.Models
		if len(allowed) == 0 {
			allowed = cfg.models
		}
		cfg.targets[e.ID] = target{address: address, engine: placement.Engine{
			Endpoint: e.ID, Allowed: allowed, ModelCapacity: rules.ModelsPerEndpoint, Slots: e.Slots, Leaving: e.Leaving,
		}}
	}
	for name, cfg := range configs {
		if len(cfg.targets) == 0 {
			delete(configs, name)
		}
	}
	return configs
}

// agentAddresses returns the addresses of a region's agents, by VM.
func agentAddresses(doc *config.Document, region string) map[string]string {
	inRegion := make(map[string]bool)
	for _, domain := range doc.Register.FailureDomains {
		inRegion[domain.ID] = domain.Region == region
	}
	addresses := make(map[string]string)
	for _, vm := range doc.Register.VMs {
		if vm.Role == config.RoleAgent && inRegion[vm.FailureDomain] {
			addresses[vm.ID] = vm.Address
		}
	}
	return addresses
}

func placementOptions(rules config.PlacementRules) placement.Options {
	return placement.Options{
		LoadInterval: config.Seconds(rules.LoadIntervalSeconds),
		MaxLoading:   rules.MaxLoading,
		Headroom:     rules.Headroom,
		HoldDown:     config.Seconds(rules.HoldDownSeconds),
		OrderTimeout: placement.DefaultOrderTimeout,
	}
}

// preferredRouter returns the router that should hold a lease, by rendezvous hash.
// Routers whose membership views differ may prefer different ones; the lease ensures
// that only one of them holds it.
func preferredRouter(routers []string, key string) string {
	chosen, best := "", uint64(0)
	for _, vm := range routers {
		if score := xxh3.HashString(vm + " " + key); chosen == "" || score > best {
			chosen, best = vm, score
		}
	}
	return chosen
}
