package ingress

import (
	"net/http"
	"sync"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/gateway"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

// allowance is what clients are allowed: the most that any configuration in this life has
// allowed, since clients may still go by an older one. Safe for concurrent use.
type allowance struct {
	mu   sync.Mutex
	most route.Limits
}

// take takes in the limits of a configuration, and returns what is allowed now.
func (a *allowance) take(limits route.Limits, known bool) route.Limits {
	a.mu.Lock()
	defer a.mu.Unlock()
	if known {
		a.most.HeaderBytes = max(a.most.HeaderBytes, limits.HeaderBytes)
		a.most.HeaderTimeout = max(a.most.HeaderTimeout, limits.HeaderTimeout)
		a.most.IdleTimeout = max(a.most.IdleTimeout, limits.IdleTimeout)
	}
	return route.Limits{
		HeaderBytes:   orElse(a.most.HeaderBytes, headerBytes),
		HeaderTimeout: orElse(a.most.HeaderTimeout, headerTimeout),
		IdleTimeout:   orElse(a.most.IdleTimeout, idleTimeout),
	}
}

// orElse returns a limit, or another one where none was given.
func orElse[T int | time.Duration](limit, other T) T {
	if limit > 0 {
		return limit
	}
	return other
}

// lineBytes is what a header line has beside name and value.
const lineBytes = len(": \r\n")

// headSize returns the bytes of a request's head, as a client sends it at least.
func headSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + lineBytes
		}
	}
	return size
}

func refuseHead() *gateway.Refusal {
	return &gateway.Refusal{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: "head_too_large", Message: "the headers are longer than the configuration allows; send fewer"}
}
