package gateway

import (
	"bytes"
	"context"
	"io"

	"github.com/cobaltcroft/cobaltcroft/pkg/balance"
	"github.com/cobaltcroft/cobaltcroft/pkg/httpconn"
	"github.com/cobaltcroft/cobaltcroft/pkg/memquota"
)

const (
	// streamReadSize is the buffer size for reads from a stream.
	streamReadSize = 4 << 10
	// maxEventSize limits the size of one event.
	maxEventSize = 1 << 20
)

// relayStream forwards the events of a stream as they become complete.
func (u *run) relayStream(ctx context.Context, call *balance.Call, answer *httpconn.Response) attemptResult {
	held := u.Held.NewYieldingReservation()
	defer held.Release()
	events := &eventReader{body: answer.Body, held: held}
	for {
		data, err := events.next()
		if len(data) > 0 {
			call.EventsReceived(bytes.Count(data, eventSeparator))
			u.eventsReceived()
			if !u.forwardEvents(call, answer, data, events.lastID) {
				call.End(balance.Canceled, nil)
				return resultDone
			}
		}
		if err == nil {
			continue
		}
		if err == io.EOF && events.atBoundary() && u.streamBegun {
			call.End(balance.Succeeded, nil)
			u.answerComplete(call, answer)
			u.logEnd(answer.Status, "answered")
			return resultDone
		}
		return u.endBroken(ctx, call, err)
	}
}

// forwardEvents sends complete events to the client and reports whether the client is still
// connected.
func (u *run) forwardEvents(call *balance.Call, answer *httpconn.Response, data []byte, lastID string) bool {
	if !u.streamBegun {
		u.streamBegun = true
		u.mayHaveRun = true
		u.firstEventAfter = u.Clock.Since(u.request.Arrived)
		u.firstEventSeconds.Update(u.firstEventAfter.Seconds())
		u.freeInputs()
		u.beginStream(call.Endpoint, answer.ConnectedAt)
		if err := u.responder.StartStream(answer.Status, httpconn.EndToEnd(answer.Header)); err != nil {
			u.abandonStream()
			return false
		}
	}
	n := bytes.Count(data, eventSeparator)
	u.events += n
	u.versionSample.addEvents(u.Clock.Now(), n)
	if lastID != "" {
		u.lastEvent = lastID
	}
	if err := u.responder.WriteEvents(data); err != nil {
		u.abandonStream()
		return false
	}
	return true
}

func (u *run) abandonStream() {
	u.logEnd(0, "client_left")
	u.responder.Abort()
}

var eventSeparator = []byte("\n\n")

// eventReader splits a body into complete events.
type eventReader struct {
	body io.Reader
	// partial is the start of an event; held is the memory reserved for it.
	partial []byte
	held    *memquota.Reservation
	// lastID is the ID of the last complete event.
	lastID string
	err    error
}

// next returns the complete events received, and the error that ended the body.
func (r *eventReader) next() ([]byte, error) {
	if r.err != nil {
		return nil, r.err
	}
	begin := len(r.partial)
	r.partial = append(r.partial, make([]byte, streamReadSize)...)
	n, err := r.body.Read(r.partial[begin:])
	r.partial = r.partial[:begin+n]
	r.err = err
	if err == nil && len(r.partial) > maxEventSize {
		r.err = io.ErrShortBuffer
	}
	end := bytes.LastIndex(r.partial, eventSeparator)
	if end < 0 {
		r.reservePartial()
		return nil, r.err
	}
	whole := r.partial[:end+len(eventSeparator)]
	r.partial = bytes.Clone(r.partial[end+len(eventSeparator):])
	r.updateLastID(whole)
	r.reservePartial()
	return whole, r.err
}

// reservePartial reserves the memory of an event that is not complete, or ends the stream if there is none.
func (r *eventReader) reservePartial() {
	if err := r.held.Resize(int64(len(r.partial))); err != nil && r.err == nil {
		r.err = err
	}
}

// atBoundary reports whether the body ended between two events.
func (r *eventReader) atBoundary() bool { return len(bytes.TrimSpace(r.partial)) == 0 }

var idField = []byte("id:")

func (r *eventReader) updateLastID(whole []byte) {
	for line := range bytes.Lines(whole) {
		if rest, ok := bytes.CutPrefix(line, idField); ok {
			r.lastID = string(bytes.TrimSpace(rest))
		}
	}
}
