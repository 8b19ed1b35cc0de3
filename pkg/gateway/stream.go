package gateway

import (
	"bytes"
	"context"
	"io"

	"github.com/cobaltcroft/cobaltcroft/pkg/balance"
	"github.com/cobaltcroft/cobaltcroft/pkg/httpconn"
)

const (
	// streamRead is how many bytes of a stream are read at once.
	streamRead = 4 << 10
	// maxEvent bounds one event of a stream.
	maxEvent = 1 << 20
)

// relayStream sends the events of a stream on, each as soon as it is whole.
func (u *run) relayStream(ctx context.Context, call *balance.Call, answer *httpconn.Answer) next {
	events := &eventReader{body: answer.Body}
	for {
		data, err := events.next()
		if len(data) > 0 {
			call.ResponseStarted()
			u.wentOn()
			if !u.forwardEvents(answer, data, events.lastID) {
				call.End(balance.Canceled, nil)
				return finished
			}
		}
		if err == nil {
			continue
		}
		if err == io.EOF && events.clean() && u.begun {
			call.End(balance.Succeeded, nil)
			u.survived()
			u.logEnd(answer.Status, "answered")
			return finished
		}
		call.End(choose(ctx.Err() == nil, balance.Failed, balance.Canceled), nil)
		return brokenUnless(ctx)
	}
}

// forwardEvents sends whole events to the client, and tells whether it still takes them.
func (u *run) forwardEvents(answer *httpconn.Answer, data []byte, lastID string) bool {
	if !u.begun {
		u.begun = true
		u.mayHaveRun = true
		u.firstAfter = u.Clock.Since(u.request.Arrived)
		u.firstEventSeconds.Update(u.firstAfter.Seconds())
		u.freeInputs()
		if err := u.responder.Begin(answer.Status, httpconn.EndToEnd(answer.Header)); err != nil {
			u.clientLeft()
			return false
		}
	}
	n := bytes.Count(data, eventEnd)
	u.events += n
	u.observed.came(u.Clock.Now(), n)
	if lastID != "" {
		u.lastEvent = lastID
	}
	if err := u.responder.Event(data); err != nil {
		u.clientLeft()
		return false
	}
	return true
}

func (u *run) clientLeft() {
	u.logEnd(0, "client_left")
	u.responder.Break()
}

var eventEnd = []byte("\n\n")

// eventReader cuts a body into whole events.
type eventReader struct {
	body    io.Reader
	partial []byte
	// lastID is the id of the last whole event.
	lastID string
	err    error
}

// next returns the whole events that have come, and the error that ended the body.
func (r *eventReader) next() ([]byte, error) {
	if r.err != nil {
		return nil, r.err
	}
	begin := len(r.partial)
	r.partial = append(r.partial, make([]byte, streamRead)...)
	n, err := r.body.Read(r.partial[begin:])
	r.partial = r.partial[:begin+n]
	r.err = err
	if err == nil && len(r.partial) > maxEvent {
		r.err = io.ErrShortBuffer
	}
	end := bytes.LastIndex(r.partial, eventEnd)
	if end < 0 {
		return nil, r.err
	}
	whole := r.partial[:end+len(eventEnd)]
	r.partial = bytes.Clone(r.partial[end+len(eventEnd):])
	r.noteID(whole)
	return whole, r.err
}

// clean tells whether the body ended between two events.
func (r *eventReader) clean() bool { return len(bytes.TrimSpace(r.partial)) == 0 }

var idField = []byte("id:")

func (r *eventReader) noteID(whole []byte) {
	for line := range bytes.Lines(whole) {
		if rest, ok := bytes.CutPrefix(line, idField); ok {
			r.lastID = string(bytes.TrimSpace(rest))
		}
	}
}
