package gateway_test

import (
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/platform/platformtest"
)

// Guards against answers of endpoints in trouble that reach clients as sound ones.
var _ = Describe("an answer that is broken", func() {
	const (
		// uploadSize is more than the sockets of a connection buffer.
		uploadSize = 8 << 20
		plays      = 6
		// firstEvents is a part of a stream that ends between two events.
		firstEvents = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n"
	)
	var (
		d *platformtest.Deployment
		i *instance
	)

	BeforeEach(func() {
		d = deploy(2)
		d.Config.Limits["MaxBodyBytes"] = uploadSize
		d.PutConfig()
		i = start(d.Address())
	})

	// answerAll makes all endpoints that serve clients send a raw response.
	answerAll := func(response platformtest.RawResponse) {
		for _, e := range append(d.EnginesOf("simple"), d.EnginesOf("model")...) {
			e.SetRawResponse(&response)
		}
	}

	upload := func(route string) answer {
		return send(i.request(http.MethodPost, route, newID(), strings.Repeat("x", uploadSize)))
	}

	succeeded := SatisfyAll(HaveField("Status", http.StatusOK), HaveField("Whole", true))

	DescribeTable("since its connection was reset during the upload is not passed on as whole", func(route string) {
		answerAll(platformtest.RawResponse{Text: platformtest.SealedText("", firstEvents), Early: true, End: platformtest.Reset})
		for range plays {
			Expect(upload(route)).NotTo(succeeded)
		}
	},
		Entry("of a request that runs once at most", "once"),
		Entry("of a request that may be repeated", "repeat"),
		Entry("of a stream that may be resumed", "stream"),
		Entry("of a stream that may not", "fixed"),
	)

	DescribeTable("is told from one that is whole before the upload has ended", func(route string) {
		answerAll(platformtest.RawResponse{Text: platformtest.SealedText("", firstEvents), Early: true, End: platformtest.CloseWrite})
		for range plays {
			Expect(upload(route)).To(SatisfyAll(succeeded, HaveField("Body", firstEvents)))
		}
	},
		Entry("of a request that runs once at most", "once"),
		Entry("of a request that may be repeated", "repeat"),
		Entry("of a stream that may be resumed", "stream"),
		Entry("of a stream that may not", "fixed"),
	)

	// beforeAnswer returns the text of a head, with the fields of the endpoint, and of a whole answer after it.
	beforeAnswer := func(head string) func(*http.Request) string {
		whole := platformtest.SealedText("Content-Length: 5\r\n", "inner")
		return func(r *http.Request) string {
			_, fields, _ := strings.Cut(platformtest.SealedText("", "")(r), "\r\n")
			return head + fields + whole(r)
		}
	}

	DescribeTable("since it is none by its head is not passed on", func(head string) {
		answerAll(platformtest.RawResponse{Text: beforeAnswer(head), End: platformtest.CloseWrite})
		for _, route := range []string{"once", "repeat", "stream", "fixed"} {
			_, got := i.ask(route)
			Expect(got).To(SatisfyAll(HaveField("Status", http.StatusBadGateway), HaveField("Body", ContainSubstring("answer_lost"))), route)
		}
	},
		Entry("with status 000", "HTTP/1.1 000 Error\r\n"),
		Entry("with status 099", "HTTP/1.1 099 Error\r\n"),
		Entry("with status 600", "HTTP/1.1 600 Error\r\nContent-Length: 1\r\n"),
		Entry("with a blank after the name of a field", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Own : y\r\n"),
		Entry("with a control byte in the name of a field", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-\x01Own: y\r\n"),
		Entry("with a blank after the name of the field that frames its body", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n"),
		Entry("with a blank after the name of its length", "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n"),
	)
})
