package ingress

import (
	"net/http"
	"strconv"

	"github.com/cobaltcroft/cobaltcroft/pkg/gateway"
)

// responder writes the answer to one request.
type responder struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	// answered says that an answer was written, or begun; broken that it is to be broken off.
	answered bool
	broken   bool
}

var _ gateway.Responder = (*responder)(nil)

// Respond implements gateway.Responder.
func (r *responder) Respond(status int, h http.Header, body []byte) {
	r.answered = true
	r.head(h)
	if status != http.StatusNoContent && status != http.StatusNotModified {
		r.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	r.writer.WriteHeader(status)
	// A client that has left takes nothing.
	_, _ = r.writer.Write(body)
}

// StartStream implements gateway.Responder. The head goes out with the first event.
func (r *responder) StartStream(status int, h http.Header) error {
	r.answered = true
	r.head(h)
	r.writer.WriteHeader(status)
	return nil
}

func (r *responder) head(h http.Header) {
	header := r.writer.Header()
	for name, values := range h {
		header[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// The body's type is not guessed.
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
func (r *responder) Abort() { r.answered, r.broken = true, true }
