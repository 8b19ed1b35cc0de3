package peers_test

import (
	"io"
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/service/peers"
)

var _ = Describe("a listener for calls and tunnels", func() {
	var calls, tunnels net.Listener

	BeforeEach(func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		calls, tunnels = peers.Split(listener)
		DeferCleanup(calls.Close)
	})

	send := func(text string) net.Conn {
		conn, err := net.Dial("tcp", calls.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		_, err = io.WriteString(conn, text)
		Expect(err).NotTo(HaveOccurred())
		return conn
	}

	accept := func(listener net.Listener, n int) string {
		conn, err := listener.Accept()
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		buffer := make([]byte, n)
		_, err = io.ReadFull(conn, buffer)
		Expect(err).NotTo(HaveOccurred())
		return string(buffer)
	}

	It("tells them apart by the first byte and loses no byte", func() {
		send("\x00\x00\x00\x10 a call")
		send("CONNECT endpoint")
		Expect(accept(tunnels, 16)).To(Equal("CONNECT endpoint"))
		Expect(accept(calls, 11)).To(Equal("\x00\x00\x00\x10 a call"))
	})

	It("accepts others while a connection sends nothing", func() {
		send("")
		send("CONNECT endpoint")
		Expect(accept(tunnels, 7)).To(Equal("CONNECT"))
	})

	It("ends both when one is closed", func() {
		Expect(tunnels.Close()).To(Succeed())
		_, err := calls.Accept()
		Expect(err).To(MatchError(net.ErrClosed))
	})
})
