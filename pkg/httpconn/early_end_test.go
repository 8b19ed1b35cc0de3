package httpconn_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/httpconn"
)

// Guards against the failure of a connection that the kernel reports to the writer of the upload alone, so
// that the reader of the response sees an orderly end.
var _ = Describe("a response without a length to a request whose body is still being written", func() {
	const (
		plays = 20
		wait  = 20 * time.Second
		// uploadSize is more than the sockets of a connection buffer.
		uploadSize = 16 << 20
		head       = "HTTP/1.1 200 OK\r\n\r\n"
		part       = "the first part of the answer"
	)

	// respond sends the head and the part before the upload is read, and then calls end.
	respond := func(end func(c *net.TCPConn)) (address string) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go func() {
			for {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				go func() {
					defer c.Close()
					_, _ = http.ReadRequest(bufio.NewReader(c))
					_, _ = io.WriteString(c, head+part)
					end(c.(*net.TCPConn))
				}()
			}
		}()
		return listener.Addr().String()
	}

	upload := func(address string) (string, error) {
		pool := openPool(httpconn.IgnoreResponses)
		ctx, cancel := context.WithTimeout(context.Background(), wait)
		defer cancel()
		response, err := pool.Do(ctx, httpconn.Call{Target: httpconn.Target{ID: "e", Address: address}, Method: http.MethodPost, URI: "/x", Host: "h", Body: bytes.Repeat([]byte("x"), uploadSize), MaxIdle: time.Second})
		if err != nil {
			return "", err
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		return string(body), err
	}

	reset := func(c *net.TCPConn) {
		_ = c.SetLinger(0)
		_ = c.Close()
	}

	It("is not complete if the connection is reset", func() {
		address := respond(reset)
		for range plays {
			_, err := upload(address)
			Expect(err).To(HaveOccurred())
			Expect(httpconn.NotSent(err)).To(BeFalse(), "the endpoint may have run the call")
		}
	})

	It("is complete if the endpoint closes its side and goes on reading", func() {
		address := respond(func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		})
		for range plays {
			Expect(upload(address)).To(Equal(part))
		}
	})

	It("is complete if the endpoint closes its side and then resets what is still sent", func() {
		address := respond(func(c *net.TCPConn) {
			_ = c.CloseWrite()
			reset(c)
		})
		for range plays {
			Expect(upload(address)).To(Equal(part))
		}
	})
})
