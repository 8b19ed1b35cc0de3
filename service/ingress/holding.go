package ingress

import (
	"errors"
	"io"
	"net/http"

	"github.com/cobaltcroft/cobaltcroft/pkg/gateway"
	"github.com/cobaltcroft/cobaltcroft/pkg/memquota"
)

// errNoMemory says that a body has no place in memory.
var errNoMemory = errors.New("the bodies that are held take all memory for them")

// heldBody is what is counted in of one request's body. A length that is told is counted at once, since many clients that
// begin to send together would each find room; without one, what has come.
type heldBody struct {
	account *memquota.Quota
	bytes   int64
	// told says that the length was told.
	told bool
}

// take counts a body in of which the length is told; -1: it is not. It tells whether there is room.
func (b *heldBody) take(length int64) bool {
	if length < 0 {
		return true
	}
	b.told = true
	if !b.account.TryReserve(length) {
		return false
	}
	b.bytes += length
	return true
}

// counted returns a reader that counts in what comes, unless the length was told.
func (b *heldBody) counted(r io.Reader) io.Reader {
	if b.told {
		return r
	}
	return &countingReader{reader: r, body: b}
}

func (b *heldBody) free() { b.account.Release(b.bytes) }

type countingReader struct {
	reader io.Reader
	body   *heldBody
}

// Read implements io.Reader.
func (c *countingReader) Read(buffer []byte) (int, error) {
	n, err := c.reader.Read(buffer)
	if !c.body.account.TryReserve(int64(n)) {
		return n, errNoMemory
	}
	c.body.bytes += int64(n)
	return n, err
}

// refuseMemory refuses a request that would be held beside too much else: other instances may have room.
func refuseMemory() *gateway.Refusal {
	return &gateway.Refusal{Status: http.StatusServiceUnavailable, RetryAfter: comeBack, Reason: "no_memory", Message: "this instance holds as much as it has memory for; the request has not run; send it to another"}
}
