package callers

import (
	"strings"

	"jackdawswitch/config"
)

// findModel returns a model and the service that offers it, or nil for an unknown
// ID.
func findModel(doc *config.Document, id string) (*config.Service, *config.Model) {
	for i := range doc.Register.Services {
		service := &doc.Register.Services[i]
		for j := range service.Models {
			if service.Models[j].ID == id {
				return service, &service.Models[j]
			}
		}
	}
	return nil, nil
}

// findCall returns the plain service and its call that matches method and path, or
// nil if there is none.
func findCall(doc *config.Document, serviceID, method, path string) (*config.Service, *config.Call) {
	service := doc.Service(serviceID)
	if service == nil || service.Kind != config.KindPlain {
		return nil, nil
	}
	for i := range service.Calls {
		if callMatches(&service.Calls[i], method, path) {
			return service, &service.Calls[i]
		}
	}
	return nil, nil
}

// callMatches compares the path exactly, or as a prefix when the call's path ends
// with a slash.
func callMatches(call *config.Call, method, path string) bool {
	if call.Method != method {
		return false
	}
	if strings.HasSuffix(call.Path, "/") {
		return strings.HasPrefix(path, call.Path)
	}
	return call.Path == path
}

// priorityOf returns the priority that the first matching rule sets, or 0 if none
// matches.
func priorityOf(doc *config.Document, workspace, service string) int {
	for _, rule := range doc.Rules.Priorities {
		if rule.Workspace != "" && rule.Workspace != workspace {
			continue
		}
		if rule.Service != "" && rule.Service != service {
			continue
		}
		return rule.Level
	}
	return 0
}
