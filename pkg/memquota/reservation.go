package memquota

import (
	"errors"
	"io"
)

const (
	// longBody is the size in bytes from which a body counts as long.
	longBody = 256 << 10
	// longShare is the fraction of the quota up to which long bodies of endpoints fill it.
	longShare = 0.5
)

var (
	// ErrExhausted is returned when a quota does not admit a body.
	ErrExhausted = errors.New("the memory quota for bodies is exhausted")
	// ErrTooLong is returned when a quota admits no more of a long body that yields to others.
	ErrTooLong = errors.New("the memory quota leaves no more room to long bodies")
)

// Reservation is the part of a quota that one body uses. It is not safe for concurrent use.
type Reservation struct {
	quota *Quota
	bytes int64
	// yields makes a long body leave a part of the quota to others.
	yields bool
}

// NewReservation returns an empty reservation.
func (q *Quota) NewReservation() *Reservation { return &Reservation{quota: q} }

// NewYieldingReservation returns an empty reservation for a body that may have no end. Once the body is long,
// it grows only while a part of the quota is left to others.
func (q *Quota) NewYieldingReservation() *Reservation { return &Reservation{quota: q, yields: true} }

// Resize changes the reservation to the size of the body in bytes. If the quota does not admit that, the
// reservation remains, and the error is ErrExhausted or ErrTooLong.
func (r *Reservation) Resize(size int64) error {
	more := size - r.bytes
	yields := r.yields && size > longBody
	switch {
	case more <= 0:
		r.quota.Release(-more)
	case yields && !r.quota.tryReserveShare(more, longShare):
		return ErrTooLong
	case !yields && !r.quota.TryReserve(more):
		return ErrExhausted
	}
	r.bytes = size
	return nil
}

// Release releases the reservation.
func (r *Reservation) Release() {
	r.quota.Release(r.bytes)
	r.bytes = 0
}

// Reader returns a reader that adds what it reads to the reservation, and fails as Resize does.
func (r *Reservation) Reader(body io.Reader) io.Reader { return &reservingReader{body, r} }

// ReadAll reads a body that may have no end, up to limit bytes. It counts against the quota while it is read.
func (q *Quota) ReadAll(body io.Reader, limit int64) ([]byte, error) {
	r := q.NewYieldingReservation()
	defer r.Release()
	return io.ReadAll(r.Reader(io.LimitReader(body, limit)))
}

type reservingReader struct {
	body        io.Reader
	reservation *Reservation
}

// Read implements io.Reader.
func (r *reservingReader) Read(buffer []byte) (int, error) {
	n, err := r.body.Read(buffer)
	if full := r.reservation.Resize(r.reservation.bytes + int64(n)); full != nil {
		return n, full
	}
	return n, err
}
