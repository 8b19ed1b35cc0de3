package gateway

import (
	"context"
	"errors"
	"io"

	"github.com/cobaltcroft/cobaltcroft/pkg/balance"
	"github.com/cobaltcroft/cobaltcroft/pkg/httpconn"
	"github.com/cobaltcroft/cobaltcroft/pkg/memquota"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

// maxBufferedResponse limits the size of responses that are buffered, in bytes.
const maxBufferedResponse = 16 << 20

// errResponseTooLong is returned if a response exceeds maxBufferedResponse.
var errResponseTooLong = problem.New(problem.Invalid, "check the endpoint; stream long responses", "the response exceeds %d bytes", maxBufferedResponse)

// readBody reads the complete body of a response, as far as the memory quota admits it.
func readBody(answer *httpconn.Response, held *memquota.Reservation) ([]byte, error) {
	if answer.Length > maxBufferedResponse {
		return nil, errResponseTooLong
	}
	body, err := io.ReadAll(held.Reader(io.LimitReader(answer.Body, maxBufferedResponse+1)))
	if err == nil && len(body) > maxBufferedResponse {
		err = errResponseTooLong
	}
	return body, err
}

// unreadable reports whether err means that a response was not read to its end, though its connection did not
// break.
func unreadable(err error) bool {
	return errors.Is(err, errResponseTooLong) || errors.Is(err, memquota.ErrTooLong) || errors.Is(err, memquota.ErrExhausted)
}

// endBroken ends a call whose response was not read to its end.
func (u *run) endBroken(ctx context.Context, call *balance.Call, err error) attemptResult {
	if unreadable(err) {
		u.unreadableResponses.Inc()
	}
	call.End(brokenOutcome(ctx, err), nil)
	return connBrokenResult(ctx, err)
}
