// Package tunnel lets an instance that cannot connect to an endpoint use the connection of another
// instance. A tunnel is opened by an HTTP CONNECT request that names the endpoint by its ID; it then
// carries the bytes of one connection. The other instance connects to the endpoint itself, so that a
// tunnel has one hop.
package tunnel

import (
	"net/http"
)

const (
	// headerToken has the token shared by all instances.
	headerToken = "Proxy-Authorization"
	tokenPrefix = "Bearer "
	// headerEndpoint has the ID of the endpoint, which may contain bytes that a host must not.
	headerEndpoint = "Tunnel-Endpoint"
	// headerReason has the reason of a refusal.
	headerReason = "Tunnel-Reason"
	// headerEndpointRefused is set in a refusal if the endpoint refused the connection: nothing listens
	// on its address.
	headerEndpointRefused = "Tunnel-Endpoint-Refused"
	// tunnelHost is the host in requests that open a tunnel.
	tunnelHost = "endpoint"
	// maxHeaderBytes bounds the header of a request or response that opens a tunnel.
	maxHeaderBytes = 4 << 10
)

// reason is why an instance opened no tunnel.
type reason string

const (
	// reasonUnreached: the instance cannot connect to the endpoint.
	reasonUnreached reason = "unreached"
	// reasonUnknown: the instance knows no such endpoint.
	reasonUnknown reason = "unknown"
	// reasonPartitioned: the instance cannot connect to any endpoint of that failure domain.
	reasonPartitioned reason = "partitioned"
	// reasonBusy: the instance carries as many tunnels as it may.
	reasonBusy reason = "busy"
	// reasonDenied: the token is wrong.
	reasonDenied reason = "denied"
)

// refusal is the response of an instance that opened no tunnel.
type refusal struct {
	reason reason
	// endpointRefused is set if the endpoint refused the connection of the instance.
	endpointRefused bool
}

// status returns the HTTP status of a refusal.
func (r refusal) status() int {
	switch r.reason {
	case reasonUnreached:
		return http.StatusBadGateway
	case reasonUnknown:
		return http.StatusNotFound
	case reasonDenied:
		return http.StatusProxyAuthRequired
	case reasonPartitioned, reasonBusy:
	}
	return http.StatusServiceUnavailable
}

// write sends the refusal and closes the connection.
func (r refusal) write(w http.ResponseWriter) {
	w.Header().Set(headerReason, string(r.reason))
	if r.endpointRefused {
		w.Header().Set(headerEndpointRefused, "true")
	}
	w.Header().Set("Connection", "close")
	w.WriteHeader(r.status())
}
