//go:build review

package main

// The manifest of the cases.
const (
	routeHost = "ficu95.example"
	apiKey    = "n2ctnfzs989anu6wsjnb"
)

// manifest returns a manifest with a route for streams that may not be repeated, one for streams
// that may be resumed, and one each for plain requests of both kinds.
func manifest(version int) map[string]any {
	route := func(name, prefix, kind, service string, timeoutMS, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": routeHost, "prefix": prefix, "kind": kind, "timeout_ms": timeoutMS, "target_latency_ms": 3000,
			"priority": 1, "service": service, "attempts": attempts, "public": false, "sticky": false, "resumable": resumable, "gap_target_ms": 2000,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("r-book", "/book/", "streaming", "model", 12000, 1, false),
			route("r-week", "/week/", "streaming", "model", 12000, 2, true),
			route("r-pay", "/pay/", "non_idempotent", "desk", 2000, 1, false),
			route("r-look", "/look/", "idempotent", "desk", 2000, 2, false),
		},
		"services": []any{
			map[string]any{"name": "model", "health_path": "/health", "connection_limit": 370},
			map[string]any{"name": "desk", "health_path": "/health", "connection_limit": 110},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{apiKey}, "priority": 1}},
	}
}

// startSmall starts a small deployment: replicas of both services and gateways.
func (c *rig) startSmall(gateways, models, memoryMB int) error {
	c.platform.put("op", "config", manifest(7))
	if err := c.startReplicas("model", models); err != nil {
		return err
	}
	if err := c.startReplicas("desk", 3); err != nil {
		return err
	}
	return c.startFleet(gateways, memoryMB)
}

// runsOf returns how often a request ran.
func (c *rig) runsOf(id string) (total int) {
	for _, r := range c.replicas {
		runs, _ := r.runsOf(id)
		total += runs
	}
	return total
}
