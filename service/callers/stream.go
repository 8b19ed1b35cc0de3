package callers

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/cobaltcroft/cobaltcroft/pkg/endpoint"
	"github.com/cobaltcroft/cobaltcroft/pkg/request"
	"github.com/cobaltcroft/cobaltcroft/service/api"
	"github.com/cobaltcroft/cobaltcroft/service/convert"
)

// Event names of a streamed response.
const (
	eventToken  = "token"
	eventResult = "result"
)

// writeTimeout limits the time to write an event to a slow client.
const writeTimeout = 5 * time.Second

type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	started bool
}

func (e *eventWriter) write(name string, v any) error {
	if !e.started {
		e.started = true
		e.w.Header().Set("Content-Type", "text/event-stream")
		e.w.Header().Set("Cache-Control", "no-store")
		e.w.WriteHeader(http.StatusOK)
	}
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_ = e.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := fmt.Fprintf(e.w, "event: %s\ndata: %s\n\n", name, data); err != nil {
		return err
	}
	return e.control.Flush()
}

// handleStream sends the response as server-sent events: one per token, then the result. If the
// call fails before the first token, it sends a JSON response with the matching status instead.
func (h *Handler) handleStream(w http.ResponseWriter, r bunrouter.Request, req request.Request) error {
	events := &eventWriter{w: w, control: http.NewResponseController(w)}
	result := h.run(r.Context(), req, func(token endpoint.Token) error {
		return events.write(eventToken, api.Token(token))
	})
	if !events.started && result.Outcome != request.Answered {
		return writeResult(w, result)
	}
	return events.write(eventResult, convert.Result(result))
}
