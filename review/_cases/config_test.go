package cases

const (
	hostName = "jepu9.example"
	apiKey   = "9dnn2ctnfzs989anu6ws"
)

// putConfig writes the configuration of a small deployment.
func (s *stage) putConfig(version int, streamAttempts int) {
	route := func(name, kind, service string, timeout, slo, attempts int) map[string]any {
		return map[string]any{"Name": name, "Host": hostName, "PathPrefix": "/" + name + "/", "Kind": kind, "TimeoutMs": timeout, "SloMs": slo, "Priority": 1, "Service": service, "MaxAttempts": attempts}
	}
	stream := route("stream", "stream", "cobalt-llm", 15000, 2000, streamAttempts)
	stream["StreamResume"], stream["Affinity"], stream["ItlTargetMs"] = true, true, 400
	s.store.Put("op/config", map[string]any{
		"Version": version,
		"Routes":  []map[string]any{stream, route("post", "non_idempotent", "membership-ledger", 2000, 300, 1)},
		"Services": []map[string]any{
			{"Name": "cobalt-llm", "HealthPath": "/health", "MaxConns": 360, "Engine": map[string]any{"Slots": 64, "KvCapacity": 621758, "TokenKvBytes": 18432, "LinkMbps": 130000}},
			{"Name": "membership-ledger", "HealthPath": "/health", "MaxConns": 96},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 15000},
		"Tenants": []map[string]any{{"Name": "gym", "ApiKeys": []string{apiKey}}},
	})
}
