package memquota_test

import (
	"bytes"
	"io"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cobaltcroft/cobaltcroft/pkg/memquota"
)

func TestReservationFollowsTheSizeOfABody(t *testing.T) {
	g := NewWithT(t)
	q := memquota.NewQuota(100)
	a, b := q.NewReservation(), q.NewReservation()
	g.Expect(a.Resize(60)).To(Succeed())
	g.Expect(b.Resize(50)).To(MatchError(memquota.ErrExhausted))
	g.Expect(q.Used()).To(Equal(int64(60)))
	g.Expect(a.Resize(50)).To(Succeed())
	g.Expect(b.Resize(50)).To(Succeed())
	a.Release()
	a.Release()
	b.Release()
	g.Expect(q.Used()).To(BeZero())
}

func TestReservationCountsABodyWhileItIsRead(t *testing.T) {
	g := NewWithT(t)
	q := memquota.NewQuota(1000)
	r := q.NewReservation()
	data, err := io.ReadAll(r.Reader(strings.NewReader(strings.Repeat("x", 900))))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(data).To(HaveLen(900))
	g.Expect(q.Used()).To(Equal(int64(900)))
	_, err = io.ReadAll(r.Reader(strings.NewReader(strings.Repeat("x", 900))))
	g.Expect(err).To(MatchError(memquota.ErrExhausted))
	r.Release()
	g.Expect(q.Used()).To(BeZero())
}

// endless is a body without end.
type endless struct{}

func (endless) Read(buffer []byte) (int, error) { return len(buffer), nil }

func TestBodiesWithoutEndLeaveRoomToOthers(t *testing.T) {
	const limit = 32 << 20
	g := NewWithT(t)
	q := memquota.NewQuota(limit)
	var held []*memquota.Reservation
	for range 20 {
		r := q.NewYieldingReservation()
		held = append(held, r)
		_, err := io.Copy(io.Discard, r.Reader(endless{}))
		g.Expect(err).To(MatchError(memquota.ErrTooLong))
	}
	g.Expect(q.Used()).To(BeNumerically("<", 0.8*limit))
	sound := bytes.Repeat([]byte("x"), 200<<10)
	r := q.NewYieldingReservation()
	g.Expect(io.ReadAll(r.Reader(bytes.NewReader(sound)))).To(Equal(sound))
	for _, other := range append(held, r) {
		other.Release()
	}
	g.Expect(q.Used()).To(BeZero())
}
