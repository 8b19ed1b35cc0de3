// Package peers implements the protocol between instances: heartbeats in signed UDP datagrams, and
// JSON-RPC 2.0 calls over TCP.
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
	// maxUnauthenticatedMessage bounds the size of a message on an unauthenticated connection,
	// maxMessage on an authenticated one.
	maxUnauthenticatedMessage = 4 << 10
	maxMessage                = 64 << 20
	lengthSize                = 4
)

// codec prefixes each JSON object with its length, so that its size can be checked before it is
// read.
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
		return problem.New(problem.Invalid, "check which program connects to listen.peers", "a message of %d bytes exceeds the limit of %d", size, c.limit.Load())
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(stream, data); err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}
