package openinference

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/endpoint"
)

// resetEarly serves responses without a length that are reset while their requests are being written.
func resetEarly(t *testing.T, part string) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+part)
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	return listener.Addr().String()
}

// The end of a body without a length does not show that it is whole; the message in it does.
func TestAResponseThatIsResetDuringTheUploadIsIndeterminate(t *testing.T) {
	g := NewWithT(t)
	attempt := endpoint.Attempt{Request: "r", Stage: "s", ID: "a"}
	whole, err := json.Marshal(InferResponse{ID: attempt.ID, Parameters: Parameters{RequestID: attempt.Request, Stage: attempt.Stage}, Outputs: []Tensor{TensorOf("output", json.RawMessage(`"x"`))}})
	g.Expect(err).NotTo(HaveOccurred())
	upload, err := json.Marshal(strings.Repeat("x", 16<<20))
	g.Expect(err).NotTo(HaveOccurred())
	call := endpoint.Call{Attempt: attempt, Input: upload, Deadline: time.Now().Add(time.Minute)}
	c := New(1 << 20)
	defer c.Close()

	address := resetEarly(t, string(whole[:len(whole)-1]))
	stream := resetEarly(t, string(streamOf(attempt, 3)[:100]))
	for range 10 {
		var failure *endpoint.Error
		_, err := c.Call(context.Background(), address, call)
		g.Expect(errors.As(err, &failure)).To(BeTrue(), "%v", err)
		g.Expect(failure.Effect).To(Equal(endpoint.Indeterminate))

		_, err = c.Generate(context.Background(), stream, call, nil, func(endpoint.Token) error { return nil })
		g.Expect(errors.As(err, &failure)).To(BeTrue(), "%v", err)
		g.Expect(failure.Effect).To(Equal(endpoint.Indeterminate))
	}
}
