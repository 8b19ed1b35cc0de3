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

// The names of the events in a streamed answer.
const (
	eventToken  = "token"
	eventResult = "result"
)

// writeTimeout bounds how long one event may wait for a slow caller.
const writeTimeout = 5 * time.Second

// eventWriter writes server-sent events.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	begun   bool
}

func (e *eventWriter) write(name string, v any) error {
	if !e.begun {
		e.begun = true
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

// stream answers a call as events: a token event for each token, then one result
// event. A call that fails before the first token gets a plain JSON answer with the
// fitting status.
func (f *Face) stream(w http.ResponseWriter, r bunrouter.Request, req request.Request) error {
	events := &eventWriter{w: w, control: http.NewResponseController(w)}
	result := f.run(r.Context(), req, func(token endpoint.Token) error {
		return events.write(eventToken, api.Token(token))
	})
	if !events.begun && result.Outcome != request.Answered {
		return respond(w, result)
	}
	return events.write(eventResult, convert.Result(result))
}
