package stage

const (
	fieldName = "name"
	// configurationVersion is the version of the first configuration.
	configurationVersion = 7
)

// Plain is a service without models.
const Plain = "ledger"

// Team is a tenant with its key.
type Team struct{ Name, Key string }

// Configure writes a configuration with a route for batch jobs of a service with models and one for everyday requests to Plain.
func (s *Stage) Configure(service string, models []string, teams ...Team) {
	names := make([]map[string]any, 0, len(models))
	for _, m := range models {
		names = append(names, map[string]any{fieldName: m})
	}
	tenants := make([]map[string]any, 0, len(teams))
	for _, t := range teams {
		tenants = append(tenants, map[string]any{fieldName: t.Name, "api-keys": []string{t.Key}, "priority": 1})
	}
	s.Store.WriteJSON("op/config", map[string]any{
		"version": configurationVersion,
		"routes": []map[string]any{{
			fieldName: "jobs", "hostname": Host, "path-prefix": "/jobs/", "kind": "rollout", "timeout-ms": 10000, "goal-ms": 400,
			"result-due-ms": 7500, "queue-ttl-s": 40, "max-attempts": 3, "priority": 1, "service": service, "sticky": true, "public": false,
		}, {
			fieldName: "plain", "hostname": Host, "path-prefix": "/plain/", "kind": "idempotent", "timeout-ms": 2000, "goal-ms": 200,
			"max-attempts": 2, "priority": 2, "service": Plain, "public": false,
		}},
		"services": []map[string]any{{
			fieldName: service, "health-path": "/health", "max-conns": 150, "engine": map[string]any{"slots": slots, "models": names},
		}, {
			fieldName: Plain, "health-path": "/health", "max-conns": 110,
		}},
		"limits": map[string]any{
			"max-header-bytes": 16384, "max-body-bytes": 33554432, "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
		},
		"tenants": tenants,
	})
}
