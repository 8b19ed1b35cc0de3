package ingress

import (
	"io"
	"net/http"

	"github.com/cobaltcroft/cobaltcroft/pkg/gateway"
	"github.com/cobaltcroft/cobaltcroft/pkg/memquota"
)

// trackBody returns a reader of a request body that reserves its memory, or false if the quota does not admit
// it. A declared length is reserved in advance, because many clients that start sending at the same time would
// otherwise all be admitted. A body of unknown length (-1) is reserved as it is read.
func trackBody(body io.Reader, length int64, reservation *memquota.Reservation) (io.Reader, bool) {
	if length < 0 {
		return reservation.Reader(body), true
	}
	return body, reservation.Resize(length) == nil
}

// reasonNoMemory is the reason of refusals for want of memory.
const reasonNoMemory = "no_memory"

func refuseMemory() *gateway.Refusal {
	return &gateway.Refusal{Status: http.StatusServiceUnavailable, RetryAfter: refusalRetryAfter, Reason: reasonNoMemory, Message: "this instance has reached its memory limit; the request has not run; send it to another instance"}
}
