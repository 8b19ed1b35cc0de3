package httpconn_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/httpconn"
)

// Guards against an endpoint whose bytes never end, which would take all memory or hold the call for ever.
var _ = Describe("an endpoint that sends without end", func() {
	const (
		// most is far above any header and far below an instance's memory. It includes what sockets buffer.
		most = 16 << 20
		wait = 20 * time.Second
	)

	// endless serves a first part and then one part over and over until the connection is closed, and counts
	// the bytes.
	endless := func(first, again string) (address string, sent *atomic.Int64, closed chan struct{}) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		sent, closed = &atomic.Int64{}, make(chan struct{})
		go func() {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			defer close(closed)
			defer c.Close()
			_, _ = http.ReadRequest(bufio.NewReader(c))
			for part := first; sent.Load() < 4*most; part = again {
				n, err := c.Write([]byte(part))
				sent.Add(int64(n))
				if err != nil {
					return
				}
			}
		}()
		return listener.Addr().String(), sent, closed
	}

	long := strings.Repeat("x", 64<<10)

	DescribeTable("is cut off within its header", func(first, again string) {
		address, sent, closed := endless(first, again)
		pool := openPool(httpconn.IgnoreResponses)
		ctx, cancel := context.WithTimeout(context.Background(), wait)
		defer cancel()
		_, err := pool.Do(ctx, httpconn.Call{Target: httpconn.Target{ID: "e", Address: address}, Method: http.MethodGet, URI: "/x", Host: "h", MaxIdle: time.Second})
		Expect(err).To(HaveOccurred())
		Expect(httpconn.NotSent(err)).To(BeFalse(), "the endpoint may have run the call")
		Expect(ctx.Err()).NotTo(HaveOccurred())
		Eventually(closed).WithTimeout(wait).Should(BeClosed())
		Expect(sent.Load()).To(BeNumerically("<", most))
	},
		Entry("in its first line", long, long),
		Entry("in a header line", "HTTP/1.1 200 OK\r\nX-Long: ", long),
		Entry("in the number of its header lines", "HTTP/1.1 200 OK\r\n", strings.Repeat("X-Line: y\r\n", 4096)),
		Entry("in responses to other calls", "HTTP/1.1 200 OK\r\n", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 1024)),
	)
})
