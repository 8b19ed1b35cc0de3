// Package packed compresses what many instances take from each other.
package packed

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/cockroachdb/errors"
)

// ErrTooLarge says that bytes unpack to more than was allowed.
var ErrTooLarge = errors.New("it unpacks to more than is allowed")

// Pack returns bytes compressed with gzip, at the speed that costs the least processor time.
func Pack(data []byte) ([]byte, error) {
	var packed bytes.Buffer
	writer, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := writer.Write(data); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return packed.Bytes(), nil
}

// Unpack returns what was packed, if it is at most so many bytes; else ErrTooLarge.
func Unpack(packed []byte, most int64) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(io.LimitReader(reader, most+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > most {
		return nil, ErrTooLarge
	}
	return data, nil
}
