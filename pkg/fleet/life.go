package fleet

import (
	"strconv"
	"strings"
)

// lifeMark stands in the ID of a life between the endpoint's name and the moment of its start.
const lifeMark = "@"

// Life returns the endpoint as the life of a named one that started at a moment, in Unix milliseconds; 0: it does
// not say when.
func (e Endpoint) Life(name string, born int64) Endpoint {
	e.ID, e.Entry = name, ""
	if born > 0 {
		e.ID = name + lifeMark + strconv.FormatInt(born, 10)
	}
	if strings.Contains(e.ID, lifeMark) {
		e.Entry = name
	}
	return e
}

// Told returns an endpoint as an instance of any build told it. One that knows no lives passes the ID of a life on
// without the name that belongs to it: a call that named the endpoint by that ID would be answered as one for
// another. An ID with a mark never comes without its name from a build that knows lives.
func Told(e Endpoint) Endpoint {
	if at := strings.LastIndex(e.ID, lifeMark); e.Entry == "" && at > 0 {
		e.Entry = e.ID[:at]
	}
	return e
}
