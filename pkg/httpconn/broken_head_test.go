package httpconn_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/httpconn"
)

// Guards against bytes that are no response of HTTP/1.1, and that net/http reads as one.
var _ = Describe("the head of a response", func() {
	// inner is a response that stands where a body may be expected.
	const inner = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\ninner"

	var observed []int

	// call returns the status and the body of the response to a call that the endpoint answers with the bytes.
	call := func(answer string) (int, string, error) {
		s := serve(func(int, *http.Request) (string, bool) { return answer, false })
		observed = nil
		pool := openPool(func(_ httpconn.Target, _ string, status int, _ http.Header) {
			observed = append(observed, status)
		})
		response, err := pool.Do(context.Background(), httpconn.Call{Target: httpconn.Target{ID: "e", Address: s.Addr().String()}, Method: http.MethodGet, URI: "/x", Host: "h", ID: "1", IDHeader: "X-Id", MaxIdle: time.Second})
		if err != nil {
			return 0, "", err
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		return response.Status, string(body), err
	}

	DescribeTable("is refused", func(answer string) {
		_, body, err := call(answer)
		Expect(err).To(HaveOccurred(), "got %q", body)
		Expect(httpconn.NotSent(err)).To(BeFalse(), "the endpoint may have run the call")
		Expect(observed).To(BeEmpty(), "nothing of it is believed")
	},
		Entry("with status 000", "HTTP/1.1 000 Error\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n"),
		Entry("with status 000 before a response", "HTTP/1.1 000 Error\r\nX-Id: 1\r\n\r\n"+inner),
		Entry("with status 099 before a response", "HTTP/1.1 099 Error\r\nX-Id: 1\r\n\r\n"+inner),
		Entry("with a signed status", "HTTP/1.1 +99 Error\r\nX-Id: 1\r\n\r\n"+inner),
		Entry("with status 600", "HTTP/1.1 600 Error\r\nX-Id: 1\r\nContent-Length: 1\r\n\r\nx"),
		Entry("with status 999", "HTTP/1.1 999 Error\r\nX-Id: 1\r\nContent-Length: 1\r\n\r\nx"),
		Entry("with a status of four digits", "HTTP/1.1 2000 OK\r\nX-Id: 1\r\nContent-Length: 1\r\n\r\nx"),
		Entry("of another major version", "HTTP/2.0 200 OK\r\nX-Id: 1\r\nContent-Length: 1\r\n\r\nx"),
		Entry("with a control byte in its reason", "HTTP/1.1 200 O\x00K\r\nX-Id: 1\r\nContent-Length: 1\r\n\r\nx"),
		Entry("with a blank after the name of a field", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Own : y\r\nContent-Length: 1\r\n\r\nx"),
		Entry("with a blank in the name of a field", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX Own: y\r\nContent-Length: 1\r\n\r\nx"),
		Entry("with a blank after the name of the field that frames its body", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding : chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"),
		Entry("with a tab after the name of a field", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Own\t: y\r\nContent-Length: 1\r\n\r\nx"),
		Entry("with a control byte in the name of a field", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-\x01Own: y\r\nContent-Length: 1\r\n\r\nx"),
		Entry("with a NUL in the name of a field", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-\x00Own: y\r\nContent-Length: 1\r\n\r\nx"),
		Entry("with a carriage return in the name of a field", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-\rOwn: y\r\nContent-Length: 1\r\n\r\nx"),
		Entry("with a byte over 127 in the name of a field", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-\xffOwn: y\r\nContent-Length: 1\r\n\r\nx"),
		Entry("with a field without a name", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n: y\r\nContent-Length: 1\r\n\r\nx"),
		Entry("with a line without a colon", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Own\r\nContent-Length: 1\r\n\r\nx"),
		Entry("with a control byte in the value of a field", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Own: \x01\r\nContent-Length: 1\r\n\r\nx"),
		Entry("with chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"),
		Entry("with chunks and a length", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"),
		Entry("with two lengths", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxy"),
		Entry("that is informational and has a length", "HTTP/1.1 103 Early Hints\r\nContent-Length: 60\r\n\r\n"+inner),
		Entry("that is informational and has chunks", "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n"+inner),
		Entry("that switches to another protocol", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"+inner),
		Entry("with status 204 and a length", "HTTP/1.1 204 No Content\r\nX-Id: 1\r\nContent-Length: 1\r\n\r\nx"),
		Entry("after an empty line", "\r\nHTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 1\r\n\r\nx"),
	)

	DescribeTable("is accepted", func(answer string, status int, want string) {
		got, body, err := call(answer)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(status))
		Expect(body).To(Equal(want))
	},
		Entry("without a reason", "HTTP/1.1 200\r\nX-Id: 1\r\nContent-Length: 1\r\n\r\nx", 200, "x"),
		Entry("with an empty reason", "HTTP/1.1 200 \r\nX-Id: 1\r\nContent-Length: 1\r\n\r\nx", 200, "x"),
		Entry("with a reason in another script", "HTTP/1.1 200 \xe9t\xe9 ok\r\nX-Id: 1\r\nContent-Length: 1\r\n\r\nx", 200, "x"),
		Entry("with a field in several lines", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Own: a\r\n\tb: c\r\nContent-Length: 1\r\n\r\nx", 200, "x"),
		Entry("with a length given twice", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx", 200, "x"),
		Entry("with status 204", "HTTP/1.1 204 No Content\r\nX-Id: 1\r\n\r\n", 204, ""),
		Entry("with status 204 and no length", "HTTP/1.1 204 No Content\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n", 204, ""),
		Entry("with every byte of a token in a name", "HTTP/1.1 200 OK\r\nX-Id: 1\r\naZ09!#$%&'*+-.^_`|~:\r\nContent-Length: 1\r\n\r\nx", 200, "x"),
		Entry("of HTTP/1.0", "HTTP/1.0 200 OK\r\nX-Id: 1\r\n\r\nall of it", 200, "all of it"),
		Entry("with lines that end in a line feed alone", "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 1\n\nx", 200, "x"),
		Entry("that is longer than the buffer", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Long: "+strings.Repeat("y", 20<<10)+"\r\nContent-Length: 1\r\n\r\nx", 200, "x"),
		Entry("after responses to other calls with bodies", strings.Repeat("HTTP/1.1 200 OK\r\nX-Id: 0\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nother\r\n0\r\n\r\n", 3)+inner, 200, "inner"),
		Entry("after informational responses", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"+inner, 200, "inner"),
	)

	It("may come in pieces", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go func() {
			defer GinkgoRecover()
			c, err := listener.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			_, _ = http.ReadRequest(bufio.NewReader(c))
			for _, b := range []byte(inner) {
				_, _ = c.Write([]byte{b})
			}
		}()
		pool := openPool(httpconn.IgnoreResponses)
		response, err := pool.Do(context.Background(), httpconn.Call{Target: httpconn.Target{ID: "e", Address: listener.Addr().String()}, Method: http.MethodGet, URI: "/x", Host: "h", MaxIdle: time.Second})
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(io.ReadAll(response.Body)).To(BeEquivalentTo("inner"))
	})
})
