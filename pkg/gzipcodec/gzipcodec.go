// Package gzipcodec compresses data exchanged between instances.
package gzipcodec

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/cockroachdb/errors"
)

// ErrTooLarge means that the decompressed data exceeds the limit.
var ErrTooLarge = errors.New("decompressed data exceeds the limit")

// Compress compresses data with gzip at the fastest level.
func Compress(data []byte) ([]byte, error) {
	var compressed bytes.Buffer
	writer, err := gzip.NewWriterLevel(&compressed, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := writer.Write(data); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return compressed.Bytes(), nil
}

// Decompress decompresses data from Compress. It fails with ErrTooLarge if the result is larger
// than limit bytes.
func Decompress(compressed []byte, limit int64) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(io.LimitReader(reader, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, ErrTooLarge
	}
	return data, nil
}
