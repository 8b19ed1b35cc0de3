// Package peers is the face between instances: heartbeats as signed datagrams, and
// jsonrpc2 over TCP for what is asked and answered.
package peers

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"sync/atomic"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

const (
	// maxStrange bounds a message before the peer has shown the token, maxMessage
	// one after.
	maxStrange = 4 << 10
	maxMessage = 64 << 20
	lengthSize = 4
)

// codec frames each JSON object with its length, so that its size can be bounded
// before it is read.
type codec struct{ limit atomic.Int64 }

var _ jsonrpc2.ObjectCodec = (*codec)(nil)

func newCodec(limit int64) *codec {
	c := &codec{}
	c.limit.Store(limit)
	return c
}

// WriteObject implements jsonrpc2.ObjectCodec.
func (c *codec) WriteObject(stream io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, lengthSize+len(data)), uint32(len(data)))
	_, err = stream.Write(append(frame, data...))
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c *codec) ReadObject(stream *bufio.Reader, v any) error {
	var length [lengthSize]byte
	if _, err := io.ReadFull(stream, length[:]); err != nil {
		return err
	}
	size := int64(binary.BigEndian.Uint32(length[:]))
	if size > c.limit.Load() {
		return problem.New(problem.Invalid, "check which program speaks to the peers' face", "a message of %d bytes is over the bound of %d", size, c.limit.Load())
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(stream, data); err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}
