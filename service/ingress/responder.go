package ingress

import (
	"net/http"
	"strconv"

	"github.com/cobaltcroft/cobaltcroft/pkg/gateway"
)

// responder writes the response to one request.
type responder struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	// started is set once the response has started; aborted, if the connection must be closed
	// before the response is complete.
	started bool
	aborted bool
}

var _ gateway.Responder = (*responder)(nil)

// Respond implements gateway.Responder.
func (r *responder) Respond(status int, h http.Header, body []byte) {
	r.started = true
	r.setHeader(h)
	if status != http.StatusNoContent && status != http.StatusNotModified {
		r.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	r.writer.WriteHeader(status)
	// A write error means that the client has disconnected.
	_, _ = r.writer.Write(body)
}

// StartStream implements gateway.Responder. The header is sent with the first event.
func (r *responder) StartStream(status int, h http.Header) error {
	r.started = true
	r.setHeader(h)
	r.writer.WriteHeader(status)
	return nil
}

func (r *responder) setHeader(h http.Header) {
	header := r.writer.Header()
	for name, values := range h {
		header[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// A nil value disables content sniffing.
		header["Content-Type"] = nil
	}
}

// WriteEvents implements gateway.Responder.
func (r *responder) WriteEvents(data []byte) error {
	if _, err := r.writer.Write(data); err != nil {
		return err
	}
	return r.control.Flush()
}

// Abort implements gateway.Responder.
func (r *responder) Abort() { r.started, r.aborted = true, true }
