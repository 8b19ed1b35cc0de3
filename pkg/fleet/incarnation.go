package fleet

import (
	"strconv"
	"strings"
)

// incarnationSeparator separates the endpoint's name from its start time in an ID.
const incarnationSeparator = "@"

// WithIncarnation returns the endpoint with the ID of the incarnation that started at startMs, in Unix
// milliseconds. If startMs is 0 the start time is unknown, and the ID is the name.
func (e Endpoint) WithIncarnation(name string, startMs int64) Endpoint {
	e.ID, e.Entry = name, ""
	if startMs > 0 {
		e.ID = name + incarnationSeparator + strconv.FormatInt(startMs, 10)
	}
	if strings.Contains(e.ID, incarnationSeparator) {
		e.Entry = name
	}
	return e
}

// HasIncarnation reports whether the ID identifies an incarnation. If not, it is the name, and a restart of
// the endpoint cannot be told from it.
func (e Endpoint) HasIncarnation() bool { return e.Entry != "" }

// RestoreEntry restores the Entry of an endpoint that was received from another instance. Instances without
// support for incarnations forward the ID but drop the Entry; using that ID as the name would
// address the wrong endpoint. Instances that support incarnations always send both.
func RestoreEntry(e Endpoint) Endpoint {
	if at := strings.LastIndex(e.ID, incarnationSeparator); e.Entry == "" && at > 0 {
		e.Entry = e.ID[:at]
	}
	return e
}
