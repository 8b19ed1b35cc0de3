package gzipcodec_test

import (
	"bytes"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/cobaltcroft/cobaltcroft/pkg/gzipcodec"
)

func TestRoundTripWithinLimit(t *testing.T) {
	data := bytes.Repeat([]byte("endpoint "), 1000)
	compressed, err := gzipcodec.Compress(data)
	if err != nil {
		t.Fatal(err)
	}
	if len(compressed) >= len(data)/10 {
		t.Errorf("compressed %d bytes to %d", len(data), len(compressed))
	}
	got, err := gzipcodec.Decompress(compressed, int64(len(data)))
	if err != nil || !bytes.Equal(got, data) {
		t.Errorf("decompressed %d bytes, error %v", len(got), err)
	}
	if _, err := gzipcodec.Decompress(compressed, int64(len(data))-1); !errors.Is(err, gzipcodec.ErrTooLarge) {
		t.Errorf("one byte over the limit: %v", err)
	}
	for _, corrupt := range [][]byte{nil, []byte("plain"), compressed[:len(compressed)/2]} {
		if _, err := gzipcodec.Decompress(corrupt, int64(len(data))); err == nil || errors.Is(err, gzipcodec.ErrTooLarge) {
			t.Errorf("%d corrupt bytes: %v", len(corrupt), err)
		}
	}
}
