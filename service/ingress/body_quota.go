package ingress

import (
	"errors"
	"io"
	"net/http"

	"github.com/cobaltcroft/cobaltcroft/pkg/gateway"
	"github.com/cobaltcroft/cobaltcroft/pkg/memquota"
)

// errNoMemory is returned when the memory quota does not admit a request body.
var errNoMemory = errors.New("the memory quota for request bodies is exhausted")

// bodyReservation is the memory reserved for one request body. A declared length is reserved in
// advance, because many clients that start sending at the same time would otherwise all be
// admitted. A body of unknown length is reserved as it is read.
type bodyReservation struct {
	quota       *memquota.Quota
	bytes       int64
	lengthKnown bool
}

// reserve reserves memory for a body of the given length, or nothing if the length is unknown (-1).
// It reports whether the quota admits the body.
func (b *bodyReservation) reserve(length int64) bool {
	if length < 0 {
		return true
	}
	b.lengthKnown = true
	if !b.quota.TryReserve(length) {
		return false
	}
	b.bytes += length
	return true
}

// track returns a reader that reserves memory as it reads, unless the length is known.
func (b *bodyReservation) track(r io.Reader) io.Reader {
	if b.lengthKnown {
		return r
	}
	return &reservingReader{reader: r, body: b}
}

func (b *bodyReservation) release() { b.quota.Release(b.bytes) }

type reservingReader struct {
	reader io.Reader
	body   *bodyReservation
}

// Read implements io.Reader.
func (c *reservingReader) Read(buffer []byte) (int, error) {
	n, err := c.reader.Read(buffer)
	if !c.body.quota.TryReserve(int64(n)) {
		return n, errNoMemory
	}
	c.body.bytes += int64(n)
	return n, err
}

// reasonNoMemory is the reason of refusals for want of memory.
const reasonNoMemory = "no_memory"

func refuseMemory() *gateway.Refusal {
	return &gateway.Refusal{Status: http.StatusServiceUnavailable, RetryAfter: refusalRetryAfter, Reason: reasonNoMemory, Message: "this instance has reached its memory limit; the request has not run; send it to another instance"}
}
