package httpconn

import (
	"net/http"
	"strconv"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

// StrictTransport is a transport of net/http that fails where a response has a status or a field which is
// none by RFC 9110, instead of passing over it.
type StrictTransport struct{ *http.Transport }

var _ http.RoundTripper = StrictTransport{}

// RoundTrip implements http.RoundTripper.
func (t StrictTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := checkResponse(response); err != nil {
		_ = response.Body.Close()
		// The connection may be idle already.
		t.CloseIdleConnections()
		return nil, err
	}
	return response, nil
}

// checkResponse returns an error if the head of a response is malformed in a way that net/http accepts.
func checkResponse(response *http.Response) error {
	if !isStatus([]byte(strconv.Itoa(response.StatusCode))) {
		return problem.New(problem.Invalid, remedyMalformed, "malformed status %.100q", response.Status)
	}
	for name := range response.Header {
		if !isToken([]byte(name)) {
			return problem.New(problem.Invalid, remedyMalformed, "malformed name of a field %.100q", name)
		}
	}
	return nil
}
