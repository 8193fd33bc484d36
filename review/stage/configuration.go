package stage

const (
	fieldName = "name"
	// configurationVersion is the version of the first configuration.
	configurationVersion = 7
)

// Team is a tenant with its key.
type Team struct{ Name, Key string }

// Configure writes a configuration with one route for batch jobs, as on the pages: of a service with models, for teams.
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
		}},
		"services": []map[string]any{{
			fieldName: service, "health-path": "/health", "max-conns": 150, "engine": map[string]any{"slots": slots, "models": names},
		}},
		"limits": map[string]any{
			"max-header-bytes": 16384, "max-body-bytes": 33554432, "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
		},
		"tenants": tenants,
	})
}
