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
	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
)

const (
	// pieceSize bounds the size of a piece, and with it the delay of other messages on the
	// connection, to 35 ms at 10 Mbit/s.
	pieceSize = 32 << 10
	// maxConcurrentReaders bounds the number of peers that fetch a document from this instance at a
	// time. Peers that have the document serve it in turn, so that serving a few at a time is
	// faster overall. A peer that has not requested a piece within readerTTL is dropped.
	maxConcurrentReaders = 3
	readerTTL            = pieceTimeout
	// maxDocumentSize bounds the uncompressed size of a document.
	maxDocumentSize = 64 << 20
)

// PieceRequest requests a piece of a compressed document.
type PieceRequest struct {
	// Asker is the name of the requesting instance.
	Asker string `json:"asker"`
	// NewerThan and Version are the revision and the version of the requester's document.
	NewerThan revision.Revision `json:"newer_than"`
	Version   uint64            `json:"version,omitempty"`
	// MaxAge is the maximum age, in nanoseconds, of the peer's confirmation that its document is
	// the newest. 0 accepts any age.
	MaxAge time.Duration `json:"max_age_ns,omitempty"`
	// Digest and Offset identify the compressed document that the requester has partially fetched,
	// and the number of bytes it has.
	Digest string `json:"digest,omitempty"`
	Offset int    `json:"offset,omitempty"`
}

// Piece is a piece of the compressed document that an instance has in force.
type Piece struct {
	Status DocumentStatus `json:"mark"`
	// Busy is set if the instance is already serving other peers.
	Busy bool `json:"busy,omitempty"`
	// Digest and Size describe the compressed document. Size is 0 if there is no newer one.
	Digest string `json:"digest,omitempty"`
	Size   int    `json:"size,omitempty"`
	// Offset is 0 if the requester has a part of a different document.
	Offset int    `json:"offset,omitempty"`
	Data   []byte `json:"data,omitempty"`
}

// packedDocument is a compressed document.
type packedDocument struct {
	revision revision.Revision
	digest   string
	data     []byte
}

func newPackedDocument(at revision.Revision, data []byte) *packedDocument {
	return &packedDocument{revision: at, digest: digestOf(data), data: data}
}

func digestOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:16])
}

func pack(d Document) (*packedDocument, error) {
	data, err := gzipcodec.Compress(d.Data)
	if err != nil {
		return nil, err
	}
	return newPackedDocument(d.Revision, data), nil
}

// unpack verifies the digest and returns the decompressed document.
func (p *packedDocument) unpack() (Document, error) {
	if digestOf(p.data) != p.digest {
		return Document{}, problem.New(problem.Invalid, "fetch it from another peer", "digest mismatch in the compressed document of revision %d", p.revision)
	}
	data, err := gzipcodec.Decompress(p.data, maxDocumentSize)
	if errors.Is(err, gzipcodec.ErrTooLarge) {
		return Document{}, problem.New(problem.Invalid, "write a smaller configuration", "the document of revision %d is larger than %d bytes", p.revision, maxDocumentSize)
	}
	if err != nil {
		return Document{}, problem.Wrap(err, problem.Invalid, "fetch it from another peer", "decompressing the document of revision %d failed", p.revision)
	}
	return Document{Revision: p.revision, Data: data}, nil
}

// documentCache holds the compressed form of the document in force and limits the number of peers
// that fetch it at a time. It is safe for concurrent use.
type documentCache struct {
	clock clockwork.Clock

	mu       sync.Mutex
	document *packedDocument
	// readers maps the peers that are fetching the document to the time of their last request.
	readers map[string]time.Time
}

func newDocumentCache(clock clockwork.Clock) *documentCache {
	return &documentCache{clock: clock, readers: map[string]time.Time{}}
}

// put stores a compressed document in place of the cached one.
func (s *documentCache) put(p *packedDocument) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.document = p
}

// packed returns the compressed form of a document.
func (s *documentCache) packed(d Document) (*packedDocument, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.document != nil && s.document.revision == d.Revision {
		return s.document, nil
	}
	p, err := pack(d)
	if err != nil {
		return nil, err
	}
	s.document = p
	return p, nil
}

// admit reports whether a peer may fetch the document now.
func (s *documentCache) admit(peer string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for name, at := range s.readers {
		if now.Sub(at) > readerTTL {
			delete(s.readers, name)
		}
	}
	if _, begun := s.readers[peer]; !begun && len(s.readers) >= maxConcurrentReaders {
		return false
	}
	s.readers[peer] = now
	return true
}

// release records that a peer has fetched the whole document.
func (s *documentCache) release(peer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.readers, peer)
}

// Piece responds to a peer that fetches the document in force.
func (f *Follower) Piece(request PieceRequest) (Piece, error) {
	view := f.View()
	piece := Piece{Status: view.status(f.clock.Now())}
	if !view.InForce().newerThan(DocumentID{Version: request.Version, Revision: request.NewerThan}) || request.MaxAge > 0 && piece.Status.Age > request.MaxAge {
		return piece, nil
	}
	if !f.documentCache.admit(request.Asker) {
		piece.Busy = true
		return piece, nil
	}
	p, err := f.documentCache.packed(view.Document)
	if err != nil {
		return Piece{}, problem.Wrap(err, problem.Internal, "fetch it from another peer", "compressing the document of revision %d failed", view.Document.Revision)
	}
	piece.Digest, piece.Size = p.digest, len(p.data)
	if request.Digest == p.digest && request.Offset > 0 && request.Offset < len(p.data) {
		piece.Offset = request.Offset
	}
	end := min(len(p.data), piece.Offset+pieceSize)
	piece.Data = p.data[piece.Offset:end]
	if end == len(p.data) {
		f.documentCache.release(request.Asker)
	}
	return piece, nil
}
