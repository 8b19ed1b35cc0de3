package peers_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/logging"
	"github.com/cobaltcroft/cobaltcroft/service/peers"
)

const (
	// largeAnswer, in bytes, takes more than twice the ping timeout at slowLinkRate, in bytes per
	// second.
	largeAnswer  = 360_000
	slowLinkRate = 250_000
	// longCall is the duration of a concurrent call.
	longCall = 2 * time.Second
)

// largeAnswerHandler answers the method "large" with many bytes, and all others after longCall.
type largeAnswerHandler struct{}

func (largeAnswerHandler) Answer(ctx context.Context, method string, _ json.RawMessage) (any, error) {
	if method == "large" {
		return strings.Repeat("x", largeAnswer), nil
	}
	select {
	case <-time.After(longCall):
	case <-ctx.Done():
	}
	return "made", nil
}

// rateLimitedProxy starts a proxy that limits answers to slowLinkRate, and returns its address.
func rateLimitedProxy(to string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(out, in)
				_ = out.Close()
			}()
			go copySlowly(in, out)
		}
	}()
	return l.Addr().String()
}

// copySlowly copies at slowLinkRate.
func copySlowly(to, from net.Conn) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, slowLinkRate/100)
	for {
		n, err := from.Read(buffer)
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
		time.Sleep(time.Duration(n) * time.Second / slowLinkRate)
	}
}

var _ = Describe("a large answer over a slow link", func() {
	It("does not fail the other calls on its connection", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		s := peers.NewServer(largeAnswerHandler{}, "token", nil, logging.Discard().For("peers"))
		go s.Serve(l)
		DeferCleanup(s.Close)
		DeferCleanup(l.Close)
		address := rateLimitedProxy(l.Addr().String())
		c := peers.NewClient("a", "token", nil)
		DeferCleanup(c.Close)
		call := func(method string) error {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			var answer string
			return c.Call(ctx, address, method, struct{}{}, &answer)
		}
		long := make(chan error, 1)
		go func() { long <- call("long") }()
		large := make(chan error, 1)
		go func() { large <- call("large") }()
		Eventually(long).WithTimeout(6 * time.Second).Should(Receive(BeNil()))
		Eventually(large).WithTimeout(6 * time.Second).Should(Receive(BeNil()))
	})
})
