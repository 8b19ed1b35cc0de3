package packed_test

import (
	"bytes"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/cobaltcroft/cobaltcroft/pkg/packed"
)

func TestWhatIsPackedUnpacksWithinItsBound(t *testing.T) {
	data := bytes.Repeat([]byte("endpoint "), 1000)
	small, err := packed.Pack(data)
	if err != nil {
		t.Fatal(err)
	}
	if len(small) >= len(data)/10 {
		t.Errorf("%d bytes are packed into %d", len(data), len(small))
	}
	got, err := packed.Unpack(small, int64(len(data)))
	if err != nil || !bytes.Equal(got, data) {
		t.Errorf("%d bytes unpacked, %v", len(got), err)
	}
	if _, err := packed.Unpack(small, int64(len(data))-1); !errors.Is(err, packed.ErrTooLarge) {
		t.Errorf("one byte too many: %v", err)
	}
	for _, damaged := range [][]byte{nil, []byte("plain"), small[:len(small)/2]} {
		if _, err := packed.Unpack(damaged, int64(len(data))); err == nil || errors.Is(err, packed.ErrTooLarge) {
			t.Errorf("%d damaged bytes: %v", len(damaged), err)
		}
	}
}
