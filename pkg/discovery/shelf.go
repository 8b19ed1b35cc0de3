package discovery

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/cobaltcroft/cobaltcroft/pkg/gzipcodec"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

const (
	// pieceSize bounds the bytes of one piece: what else goes over the connection is held up
	// by a piece no longer than 35 ms on a link of 10 Mbit/s (with a third more for its text).
	pieceSize = 32 << 10
	// servedAtOnce is how many peers take a document here at a time. Those that have it then
	// pass it on, so that few at a time are done sooner than all together. One that has not
	// asked for as long as a piece may take has given up.
	servedAtOnce = 3
	servedFor    = pieceTimeout
	// largestDocument bounds a document that is unpacked.
	largestDocument = 64 << 20
)

// PieceSelect asks for a piece of a packed document.
type PieceSelect struct {
	// Asker is the name of the instance that asks.
	Asker string `json:"asker"`
	// NewerThan is the revision of the document that it has.
	NewerThan uint64 `json:"newer_than"`
	// MaxAge, in nanoseconds, is how long ago the peer may have known at the latest that its
	// document is the newest; 0: any time.
	MaxAge time.Duration `json:"max_age_ns,omitempty"`
	// Digest and Offset say which packed document the asker has begun to take, and how many
	// bytes of it it has.
	Digest string `json:"digest,omitempty"`
	Offset int    `json:"offset,omitempty"`
}

// Piece is a piece of the packed document that an instance has in force.
type Piece struct {
	Mark Mark `json:"mark"`
	// Busy says that others are served first: ask someone else.
	Busy bool `json:"busy,omitempty"`
	// Digest and Size are those of the packed document; Size 0 says that there is no newer one.
	Digest string `json:"digest,omitempty"`
	Size   int    `json:"size,omitempty"`
	// Offset is 0 if the asker had begun with another one.
	Offset int    `json:"offset,omitempty"`
	Data   []byte `json:"data,omitempty"`
}

// parcel is a packed document.
type parcel struct {
	revision uint64
	digest   string
	data     []byte
}

func newParcel(revision uint64, data []byte) *parcel {
	return &parcel{revision: revision, digest: digestOf(data), data: data}
}

func digestOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:16])
}

// pack compresses a document.
func pack(d Document) (*parcel, error) {
	data, err := gzipcodec.Compress(d.Data)
	if err != nil {
		return nil, err
	}
	return newParcel(d.Revision, data), nil
}

// unpack returns the document, if the bytes are those that the digest names.
func (p *parcel) unpack() (Document, error) {
	if digestOf(p.data) != p.digest {
		return Document{}, problem.New(problem.Invalid, "take it from another peer", "the packed document of revision %d is not what its digest says", p.revision)
	}
	data, err := gzipcodec.Decompress(p.data, largestDocument)
	if errors.Is(err, gzipcodec.ErrTooLarge) {
		return Document{}, problem.New(problem.Invalid, "write a smaller configuration", "the document of revision %d is larger than %d bytes", p.revision, largestDocument)
	}
	if err != nil {
		return Document{}, problem.Wrap(err, problem.Invalid, "take it from another peer", "the packed document of revision %d does not unpack", p.revision)
	}
	return Document{Revision: p.revision, Data: data}, nil
}

// shelf keeps the document in force packed, and tells whom it is given to. Safe for
// concurrent use.
type shelf struct {
	clock clockwork.Clock

	mu     sync.Mutex
	parcel *parcel
	// served has when those asked last that take it now.
	served map[string]time.Time
}

func newShelf(clock clockwork.Clock) *shelf {
	return &shelf{clock: clock, served: map[string]time.Time{}}
}

// put keeps a document that came packed.
func (s *shelf) put(p *parcel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parcel == nil || p.revision > s.parcel.revision {
		s.parcel = p
	}
}

// of returns a document packed.
func (s *shelf) of(d Document) (*parcel, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parcel != nil && s.parcel.revision == d.Revision {
		return s.parcel, nil
	}
	p, err := pack(d)
	if err != nil {
		return nil, err
	}
	if s.parcel == nil || p.revision > s.parcel.revision {
		s.parcel = p
	}
	return p, nil
}

// admit tells whether an asker is served now.
func (s *shelf) admit(asker string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for name, at := range s.served {
		if now.Sub(at) > servedFor {
			delete(s.served, name)
		}
	}
	if _, begun := s.served[asker]; !begun && len(s.served) >= servedAtOnce {
		return false
	}
	s.served[asker] = now
	return true
}

// done notes that an asker has taken all.
func (s *shelf) done(asker string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.served, asker)
}

// Piece answers a peer that takes the document in force here.
func (f *Follower) Piece(selection PieceSelect) (Piece, error) {
	view := f.View()
	piece := Piece{Mark: view.mark(f.clock.Now())}
	if view.Document.Revision <= selection.NewerThan || selection.MaxAge > 0 && piece.Mark.Age > selection.MaxAge {
		return piece, nil
	}
	if !f.shelf.admit(selection.Asker) {
		piece.Busy = true
		return piece, nil
	}
	p, err := f.shelf.of(view.Document)
	if err != nil {
		return Piece{}, problem.Wrap(err, problem.Internal, "take it from another peer", "the document of revision %d can't be packed", view.Document.Revision)
	}
	piece.Digest, piece.Size = p.digest, len(p.data)
	if selection.Digest == p.digest && selection.Offset > 0 && selection.Offset < len(p.data) {
		piece.Offset = selection.Offset
	}
	end := min(len(p.data), piece.Offset+pieceSize)
	piece.Data = p.data[piece.Offset:end]
	if end == len(p.data) {
		f.shelf.done(selection.Asker)
	}
	return piece, nil
}
