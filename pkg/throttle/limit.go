package throttle

import "time"

// Limit is the most recent rate limit of an endpoint, as exchanged between instances.
type Limit struct {
	// EndpointID identifies one incarnation of the endpoint.
	EndpointID string
	// Limited reports whether the endpoint accepts at most PerSecond requests per second from all
	// instances together. If false, its limit was lifted.
	Limited   bool
	PerSecond float64
	// Age is an upper bound of the time since the endpoint reported it.
	Age time.Duration
}

// PermitRequest asks the grantor of an endpoint for permits.
type PermitRequest struct {
	EndpointID string `json:"life"`
	Wanted     int    `json:"wanted"`
	// PerSecond is the limit known to the sender, reported AgeMs ago. The grantor may not know it
	// yet.
	PerSecond float64 `json:"per_second"`
	AgeMs     int64   `json:"age_ms"`
}

// PermitGrant is the response to a PermitRequest.
type PermitGrant struct {
	// Granted is the number of calls that may start within permitTTL of the request.
	Granted int `json:"granted"`
	// AfterMs is when to retry if no permits were granted.
	AfterMs int64 `json:"after_ms"`
	// Lifted reports that the endpoint's limit was lifted, as of AgeMs ago.
	Lifted bool  `json:"lifted"`
	AgeMs  int64 `json:"age_ms"`
}
