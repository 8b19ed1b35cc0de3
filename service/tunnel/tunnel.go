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

// status returns the HTTP status of a refusal.
func (r reason) status() int {
	switch r {
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
