package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/gateway"
	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/pkg/route"
)

// switchedOverload limits connections while it is set: it then takes none.
type switchedOverload struct{ limited atomic.Bool }

func (o *switchedOverload) Admit() bool    { return !o.limited.Load() }
func (o *switchedOverload) Limited() bool  { return o.limited.Load() }
func (*switchedOverload) ReportExhausted() {}

var _ = Describe("an instance with more work than processor time", func() {
	It("closes connections that it doesn't take unread, and those that it has after their response", func() {
		overload := &switchedOverload{}
		var runs atomic.Int64
		server := New(Options{
			Run: func(_ context.Context, _ *gateway.Request, responder gateway.Responder) {
				runs.Add(1)
				responder.Respond(http.StatusOK, http.Header{}, []byte("ran"))
			},
			Dialect:  plain{},
			Limits:   func() (route.Limits, bool) { return route.Limits{}, false },
			Overload: overload,
			Clock:    clockwork.NewRealClock(),
			Log:      logging.Discard().For("ingress"),
		})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = server.Serve(l) }()
		DeferCleanup(server.Close)
		kept, another := &http.Client{Transport: &http.Transport{}}, &http.Client{Transport: &http.Transport{}}
		get := func(client *http.Client) (*http.Response, error) {
			response, err := client.Get("http://" + l.Addr().String() + "/x")
			if err == nil {
				// The connection is kept only if the response was read.
				_, err = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
			return response, err
		}
		response, err := get(kept)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Close).To(BeFalse())

		overload.limited.Store(true)
		response, err = get(kept)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Close).To(BeTrue())
		_, err = get(another)
		Expect(err).To(HaveOccurred())
		Expect(runs.Load()).To(BeEquivalentTo(2))

		overload.limited.Store(false)
		_, err = get(another)
		Expect(err).NotTo(HaveOccurred())
	})
})
