package tunnel

import (
	"bufio"
	"io"
	"net"
	"net/http/httputil"

	"github.com/cobaltcroft/cobaltcroft/pkg/httpconn"
)

const (
	// headerFrames asks for frames in the direction from the endpoint to the caller, and says in the
	// response that there are any. Their last one shows that the endpoint has closed its connection;
	// without it the end of a tunnel may be that of the other instance. Earlier builds send none.
	headerFrames = "Tunnel-Frames"
	// framesChunked is the value of headerFrames: frames are the chunks of HTTP/1.1.
	framesChunked = "chunked"
	// frameOverhead is the most bytes that a frame adds to those that it carries: its length and two line
	// ends.
	frameOverhead = 16
)

// sink is the receiving end of one direction of a tunnel.
type sink interface {
	io.Writer
	// end passes on that the sender has closed its connection.
	end()
	// reset passes on that the sender's connection has failed.
	reset()
}

// rawSink passes bytes on as they are.
type rawSink struct{ net.Conn }

func (s rawSink) end()   { _ = s.Close() }
func (s rawSink) reset() { httpconn.Reset(underlying(s.Conn)) }

// frameSink passes on each write as one frame.
type frameSink struct {
	rawSink
	buffer *bufio.Writer
	frames io.WriteCloser
}

func newFrameSink(to net.Conn) *frameSink {
	buffer := bufio.NewWriterSize(to, copyBuffer+frameOverhead)
	return &frameSink{rawSink: rawSink{to}, buffer: buffer, frames: httputil.NewChunkedWriter(buffer)}
}

// Write implements io.Writer.
func (s *frameSink) Write(data []byte) (int, error) {
	n, err := s.frames.Write(data)
	if err != nil {
		return n, err
	}
	return n, s.buffer.Flush()
}

// end sends the last frame. If that fails, the receiver takes the tunnel as broken.
func (s *frameSink) end() {
	if s.frames.Close() == nil {
		_ = s.buffer.Flush()
	}
	s.rawSink.end()
}

// newFrameReader returns a reader of what frames carry. It returns io.EOF only after the last frame.
func newFrameReader(from io.Reader) io.Reader { return httputil.NewChunkedReader(from) }
