package ingress

import (
	"net/http"
	"sync"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/gateway"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

// clientLimits keeps the highest limits of all configurations since the start of the process,
// because clients may still follow an older configuration. It is safe for concurrent use.
type clientLimits struct {
	mu      sync.Mutex
	highest route.Limits
}

// update applies the limits of a configuration and returns the effective limits.
func (l *clientLimits) update(limits route.Limits, known bool) route.Limits {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known {
		l.highest.HeaderBytes = max(l.highest.HeaderBytes, limits.HeaderBytes)
		l.highest.HeaderTimeout = max(l.highest.HeaderTimeout, limits.HeaderTimeout)
		l.highest.IdleTimeout = max(l.highest.IdleTimeout, limits.IdleTimeout)
	}
	return route.Limits{
		HeaderBytes:   orDefault(l.highest.HeaderBytes, defaultHeaderBytes),
		HeaderTimeout: orDefault(l.highest.HeaderTimeout, defaultHeaderTimeout),
		IdleTimeout:   orDefault(l.highest.IdleTimeout, defaultIdleTimeout),
	}
}

// orDefault returns fallback if limit is not set.
func orDefault[T int | time.Duration](limit, fallback T) T {
	if limit > 0 {
		return limit
	}
	return fallback
}

// headerLineOverhead is the size of the separators in a header line.
const headerLineOverhead = len(": \r\n")

// headerSize returns the minimum size on the wire of the request line and headers.
func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + headerLineOverhead
		}
	}
	return size
}

func refuseHeader() *gateway.Refusal {
	return &gateway.Refusal{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: "head_too_large", Message: "the headers exceed the configured size limit; send fewer"}
}
