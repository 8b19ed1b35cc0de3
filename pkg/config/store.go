package config

import (
	"context"
	"fmt"

	"github.com/google/uuid"

	"github.com/cobaltcroft/cobaltcroft/pkg/infra"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

// The keys in the key-value service.
const (
	// HeadKey holds the head record.
	HeadKey     = "cobaltcroft/config/head"
	chunkPrefix = "cobaltcroft/config/chunk/"
)

// Store keeps the configuration in the key-value service, and brings a Replica
// forward from it.
type Store struct {
	kv      infra.KeyValue
	replica *Replica
}

// NewStore returns a store over kv that brings replica forward.
func NewStore(kv infra.KeyValue, replica *Replica) *Store {
	return &Store{kv: kv, replica: replica}
}

// readHead is a head as it was read, with the version to compare with.
type readHead struct {
	head    *head
	version int64
}

// Refresh reads the head and brings the replica up to it. It returns the revision
// that the service holds, which may be lower than the replica's if the service
// lags or was restored, and the version of the head's key. The replica never goes
// back.
func (s *Store) Refresh(ctx context.Context) (revision uint64, version int64, err error) {
	read, err := s.read(ctx)
	if err != nil {
		return 0, 0, err
	}
	return read.head.Revision, read.version, nil
}

// Offer brings the replica up to a head that a watch delivered.
func (s *Store) Offer(ctx context.Context, value infra.Value) error {
	h, err := decodeHead(value.Data)
	if err != nil {
		return err
	}
	return s.follow(ctx, h)
}

func (s *Store) read(ctx context.Context) (readHead, error) {
	value, err := s.kv.Get(ctx, HeadKey)
	if err != nil {
		return readHead{}, err
	}
	h, err := decodeHead(value.Data)
	if err != nil {
		return readHead{}, err
	}
	if err := s.follow(ctx, h); err != nil {
		return readHead{}, err
	}
	return readHead{head: h, version: value.Version}, nil
}

// follow brings the replica up to h: by h's changes if they reach back far
// enough, else from the snapshot.
func (s *Store) follow(ctx context.Context, h *head) error {
	current := s.replica.Current()
	if h.Revision <= current.revision {
		return nil
	}
	if len(h.Changes) == 0 || h.Changes[0].Revision > current.revision+1 {
		loaded, err := s.load(ctx, h.Snapshot)
		if err != nil {
			return err
		}
		current = loaded
	}
	next, err := applyAll(current, h.Changes)
	if err != nil {
		return err
	}
	if next.revision != h.Revision || next.digest != h.Digest {
		return problem.New(problem.Internal, "compare the histories of the instances, then restore the head from the platform's backup", "the head of revision %d has digest %x, its changes give %x", h.Revision, h.Digest, next.digest)
	}
	s.replica.Advance(next, h.Changes)
	return nil
}

// load reads the snapshot that ref names.
func (s *Store) load(ctx context.Context, ref snapshotRef) (*Configuration, error) {
	if len(ref.Chunks) == 0 {
		return Empty(), nil
	}
	var data []byte
	for _, key := range ref.Chunks {
		value, err := s.kv.Get(ctx, key)
		if err != nil {
			return nil, err
		}
		if !value.Found() {
			return nil, problem.New(problem.Unavailable, "read the head again; a newer snapshot has replaced this one", "chunk %s is gone", key)
		}
		data = append(data, value.Data...)
	}
	return DecodeSnapshot(data)
}

// save writes a snapshot of c as immutable chunks and returns their names.
func (s *Store) save(ctx context.Context, c *Configuration) (snapshotRef, error) {
	data, err := EncodeSnapshot(c)
	if err != nil {
		return snapshotRef{}, err
	}
	ref := snapshotRef{Revision: c.revision}
	name := fmt.Sprintf("%s%d-%s", chunkPrefix, c.revision, uuid.NewString())
	for i := 0; len(data) > 0; i++ {
		size := min(len(data), chunkBytes)
		key := fmt.Sprintf("%s/%d", name, i)
		if _, err := s.kv.CompareAndSwap(ctx, key, 0, data[:size], 0); err != nil {
			return snapshotRef{}, s.unsaved(ctx, append(ref.Chunks, key), err)
		}
		ref.Chunks = append(ref.Chunks, key)
		data = data[size:]
	}
	return ref, nil
}

// unsaved removes the chunks of a snapshot that was not finished. Nothing names
// them yet, so the change was not accepted: the problem is never Unknown.
func (s *Store) unsaved(ctx context.Context, chunks []string, cause error) error {
	s.remove(ctx, chunks)
	return problem.Wrap(cause, problem.Unavailable, "apply again later; nothing was changed", "a snapshot was not written")
}

// remove deletes chunks that no head names. One that stays costs space alone.
func (s *Store) remove(ctx context.Context, chunks []string) {
	for _, key := range chunks {
		if s.kv.Delete(ctx, key) != nil {
			return
		}
	}
}

// write makes next, reached by changes from the configuration in force, the
// accepted one, if the head still is the one read.
func (s *Store) write(ctx context.Context, read readHead, before, next *Configuration, changes []Change) error {
	h, err := s.nextHead(ctx, read.head, before, next, changes)
	if err != nil {
		return err
	}
	newSnapshot := h.Snapshot.Revision != read.head.Snapshot.Revision
	_, err = s.kv.CompareAndSwap(ctx, HeadKey, read.version, h.encode(), 0)
	if newSnapshot && problem.KindOf(err) == problem.Conflict {
		s.remove(ctx, h.Snapshot.Chunks)
	}
	if err != nil {
		return err
	}
	s.replica.Advance(next, changes)
	if newSnapshot {
		s.remove(ctx, read.head.Retired)
	}
	return nil
}

func (s *Store) nextHead(ctx context.Context, old *head, before, next *Configuration, changes []Change) (*head, error) {
	h := &head{Revision: next.revision, Digest: next.digest, Snapshot: old.Snapshot, Retired: old.Retired}
	h.Changes = append(append(h.Changes, old.Changes...), changes...)
	// A service that was restored holds less than this instance has in force: its
	// changes do not lead to before, so the state is written whole.
	restored := old.Revision != before.revision || old.Digest != before.digest
	if restored {
		h.Changes = changes
	}
	if !restored && len(h.Changes) <= maxHeadChanges && len(h.encode()) <= maxHead {
		return h, nil
	}
	ref, err := s.save(ctx, next)
	if err != nil {
		return nil, err
	}
	h.Retired = old.Snapshot.Chunks
	h.Snapshot = ref
	h.trimTail()
	return h, nil
}
