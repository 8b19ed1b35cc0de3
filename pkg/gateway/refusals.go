package gateway

import (
	"fmt"
	"net/http"
	"time"
)

// stoppingRetryAfter is the retry delay sent by an instance that is shutting down.
const stoppingRetryAfter = 50 * time.Millisecond

// Status 503 guarantees that the request has not run and will not run; 502 and 504 do not.

// startRetryAfter is the retry delay sent by an instance that has no configuration yet. An instance
// normally loads it within half a second of its start, and other instances may have it already.
const startRetryAfter = 300 * time.Millisecond

func refuseNoConfiguration() *Refusal {
	return &Refusal{http.StatusServiceUnavailable, startRetryAfter, "no_configuration", "this instance has not loaded a configuration yet; the request has not run; retry after the delay in Retry-After"}
}

func refuseNoRoute() *Refusal {
	return &Refusal{http.StatusNotFound, 0, "no_route", "no route matches this host and path; correct them"}
}

func refuseNoKey() *Refusal {
	return &Refusal{http.StatusUnauthorized, 0, "no_key", "the API key is missing or unknown; send a valid one"}
}

func refuseStale() *Refusal {
	return &Refusal{http.StatusServiceUnavailable, time.Second, "stale_configuration", "this instance has lost contact with the configuration store; the request has not run; retry after the delay in Retry-After"}
}

// outdatedRetryAfter is the retry delay sent by an instance that lacks the newest configuration. It
// normally receives it within a second, and other instances may have it already.
const outdatedRetryAfter = 300 * time.Millisecond

func refuseOutdated() *Refusal {
	return &Refusal{http.StatusServiceUnavailable, outdatedRetryAfter, "behind_configuration", "this instance has not received the newest configuration yet; the request has not run; retry after the delay in Retry-After"}
}

func refuseNoEndpoint(after time.Duration) *Refusal {
	return &Refusal{http.StatusServiceUnavailable, after, "no_endpoint", "no endpoint of the service is available; the request has not run; retry after the delay in Retry-After"}
}

func refuseBackoff(after time.Duration) *Refusal {
	return &Refusal{http.StatusServiceUnavailable, after, "endpoints_rest", "all endpoints of the service asked clients to back off; the request has not run; retry after the delay in Retry-After"}
}

func refuseLimited(after time.Duration) *Refusal {
	return &Refusal{http.StatusServiceUnavailable, after, "endpoints_limited", "the endpoints of the service have reached their rate limits; the request has not run; retry after the delay in Retry-After"}
}

func refuseNoRoom(after time.Duration) *Refusal {
	return &Refusal{http.StatusServiceUnavailable, after, "no_room", "the endpoints of the service have no room for the request; it has not run; retry after the delay in Retry-After"}
}

func refuseAllInUse(after time.Duration) *Refusal {
	return &Refusal{http.StatusServiceUnavailable, after, "connections_in_use", "all connections that this instance may open to the endpoints of the service are in use; the request has not run; send it to another instance"}
}

func refuseBusy(after time.Duration) *Refusal {
	return &Refusal{http.StatusServiceUnavailable, after, "busy", "the request would miss its deadline; it has not run; retry after the delay in Retry-After"}
}

func refusePieces(after time.Duration) *Refusal {
	return &Refusal{http.StatusServiceUnavailable, after, "pieces_not_made", "the stages of the request did not finish in time; it has not run; retry after the delay in Retry-After"}
}

// refuseStageWithoutInput uses status 400, after which clients do not retry: no instance can serve the
// request.
func refuseStageWithoutInput(stage int) *Refusal {
	return &Refusal{http.StatusBadRequest, 0, "stage_without_input", fmt.Sprintf("stage %d has pieces, but all stages that it reads are left out; the request has not run; send pieces for one of them, or none for it", stage)}
}

func refuseTooManyPieces(most int) *Refusal {
	return &Refusal{http.StatusBadRequest, 0, "too_many_pieces", fmt.Sprintf("the stages of the request have more than %d pieces together; the request has not run; send fewer, or ask the operators to raise max_pieces", most)}
}

// quarantinedRetryAfter is the retry delay for a quarantined request, which stays so until its
// endpoints are fixed or an operator releases it.
const quarantinedRetryAfter = 10 * time.Minute

func refuseQuarantined() *Refusal {
	return &Refusal{http.StatusServiceUnavailable, quarantinedRetryAfter, "quarantined", "endpoints crashed while running this request, or others with a part of its prompt; this attempt has not run; do not retry it, and report the digest in the logs to the operators of the service"}
}

// RefuseStopping refuses a request because the instance is shutting down.
func RefuseStopping() *Refusal {
	return &Refusal{http.StatusServiceUnavailable, stoppingRetryAfter, "stopping", "this instance is shutting down; the request has not run; send it to another instance"}
}

func refuseStopped() *Refusal {
	return &Refusal{http.StatusBadGateway, 0, "stopped", "this instance has shut down before the endpoint has answered; the request may have run"}
}

// refuseUnknownStream has no retry delay if no instance will know the stream later either.
func refuseUnknownStream(after time.Duration) *Refusal {
	return &Refusal{http.StatusServiceUnavailable, after, "stream_unknown", "it is not known which software version began the stream, and only that one may continue it; the request has not run; name the stream that is resumed, or start it anew"}
}

func refuseStreamGone() *Refusal {
	return &Refusal{http.StatusServiceUnavailable, 0, "stream_gone", "no endpoint of the software version that began the stream is available; the request has not run; start the stream anew"}
}

func refuseLostResponse() *Refusal {
	return &Refusal{http.StatusBadGateway, 0, "answer_lost", "the endpoint did not return a complete response; the request may have run"}
}

func refuseTimeout() *Refusal {
	return &Refusal{http.StatusGatewayTimeout, 0, "timeout", "the deadline of the request or its route has passed; the request may have run"}
}
