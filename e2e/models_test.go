package e2e

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"jackdawswitch/config"
)

// TestRoutersLoadModels guards against a registered model that is never loaded. It
// registers a model that no engine has; placement must load it at one of them.
func TestRoutersLoadModels(t *testing.T) {
	const added = "added-model"
	f := startFleet(t, fleetOptions{routers: 2, agents: 2, edit: func(doc *config.Document) {
		doc.Rules.Placement = config.DefaultRules().Placement
		doc.Rules.Placement.Enabled = true
		doc.Rules.Placement.ModelsPerEndpoint = 2
		for i := range doc.Register.Services {
			service := &doc.Register.Services[i]
			if service.Kind == config.KindModel {
				model := service.Models[0]
				model.ID = added
				service.Models = append(service.Models, model)
			}
		}
		for i := range doc.Register.Endpoints {
			doc.Register.Endpoints[i].Models = nil
		}
	}})
	waitFor(t, "an engine to load the added model", func() bool {
		for _, engine := range f.layout.EndpointURLs {
			if strings.Contains(get(t, engine+"/v1/models"), added) {
				return true
			}
		}
		return false
	})
}

// get returns the body of the response to a GET request, or an empty string if the
// request fails.
func get(t *testing.T, url string) string {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	check(t, err)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body)
	return string(body)
}
