package config

import (
	"context"
	"fmt"

	"github.com/google/uuid"

	"github.com/cobaltcroft/cobaltcroft/pkg/infra"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

// Keys in the key-value service.
const (
	// HeadKey is the key of the head record.
	HeadKey     = "cobaltcroft/config/head"
	chunkPrefix = "cobaltcroft/config/chunk/"
)

// Store persists the configuration in the key-value service and updates a Replica
// from it.
type Store struct {
	kv      infra.KeyValue
	replica *Replica
}

// NewStore returns a store over kv that updates replica.
func NewStore(kv infra.KeyValue, replica *Replica) *Store {
	return &Store{kv: kv, replica: replica}
}

// versionedHead is a head record and its key's version for compare-and-swap.
type versionedHead struct {
	head    *head
	version int64
}

// Refresh reads the head and updates the replica to it. It returns the stored
// revision, which is lower than the replica's if the read is stale or the service
// was restored from a backup, and the version of the head's key. The replica's
// revision never decreases.
func (s *Store) Refresh(ctx context.Context) (revision uint64, version int64, err error) {
	read, err := s.read(ctx)
	if err != nil {
		return 0, 0, err
	}
	return read.head.Revision, read.version, nil
}

// ApplyHead updates the replica to a head record delivered by a watch.
func (s *Store) ApplyHead(ctx context.Context, value infra.Value) error {
	h, err := decodeHead(value.Data)
	if err != nil {
		return err
	}
	return s.catchUp(ctx, h)
}

func (s *Store) read(ctx context.Context) (versionedHead, error) {
	value, err := s.kv.Get(ctx, HeadKey)
	if err != nil {
		return versionedHead{}, err
	}
	h, err := decodeHead(value.Data)
	if err != nil {
		return versionedHead{}, err
	}
	if err := s.catchUp(ctx, h); err != nil {
		return versionedHead{}, err
	}
	return versionedHead{head: h, version: value.Version}, nil
}

// catchUp updates the replica to h, using h's changes if they are contiguous with
// the replica's revision, and the snapshot otherwise.
func (s *Store) catchUp(ctx context.Context, h *head) error {
	current := s.replica.Current()
	if h.Revision <= current.revision {
		return nil
	}
	if len(h.Changes) == 0 || h.Changes[0].Revision > current.revision+1 {
		loaded, err := s.loadSnapshot(ctx, h.Snapshot)
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
		return problem.New(problem.Internal, "compare the histories of the instances, then restore the head from the platform's backup", "digest mismatch at head revision %d: stored %x, computed %x", h.Revision, h.Digest, next.digest)
	}
	s.replica.Advance(next, h.Changes)
	return nil
}

// loadSnapshot reads the snapshot that ref refers to.
func (s *Store) loadSnapshot(ctx context.Context, ref snapshotRef) (*Configuration, error) {
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
			return nil, problem.New(problem.Unavailable, "read the head again; a newer snapshot has replaced this one", "snapshot chunk %s not found", key)
		}
		data = append(data, value.Data...)
	}
	return DecodeSnapshot(data)
}

// saveSnapshot writes a snapshot of c as immutable chunks and returns a reference
// to them.
func (s *Store) saveSnapshot(ctx context.Context, c *Configuration) (snapshotRef, error) {
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
			return snapshotRef{}, s.abortSnapshot(ctx, append(ref.Chunks, key), err)
		}
		ref.Chunks = append(ref.Chunks, key)
		data = data[size:]
	}
	return ref, nil
}

// abortSnapshot deletes the chunks of an incomplete snapshot. No head refers to
// them, so the change was not accepted and the problem is never Unknown.
func (s *Store) abortSnapshot(ctx context.Context, chunks []string, cause error) error {
	s.deleteChunks(ctx, chunks)
	return problem.Wrap(cause, problem.Unavailable, "apply again later; nothing was changed", "failed to write configuration snapshot")
}

// deleteChunks deletes chunks that no head refers to. Failures are ignored: a
// leftover chunk only uses storage.
func (s *Store) deleteChunks(ctx context.Context, chunks []string) {
	for _, key := range chunks {
		if s.kv.Delete(ctx, key) != nil {
			return
		}
	}
}

// write commits next, the result of applying changes to before, if the head has
// not been modified since it was read.
func (s *Store) write(ctx context.Context, read versionedHead, before, next *Configuration, changes []Change) error {
	h, err := s.nextHead(ctx, read.head, before, next, changes)
	if err != nil {
		return err
	}
	newSnapshot := h.Snapshot.Revision != read.head.Snapshot.Revision
	_, err = s.kv.CompareAndSwap(ctx, HeadKey, read.version, h.encode(), 0)
	if newSnapshot && problem.KindOf(err) == problem.Conflict {
		s.deleteChunks(ctx, h.Snapshot.Chunks)
	}
	if err != nil {
		return err
	}
	s.replica.Advance(next, changes)
	if newSnapshot {
		s.deleteChunks(ctx, read.head.Retired)
	}
	return nil
}

func (s *Store) nextHead(ctx context.Context, old *head, before, next *Configuration, changes []Change) (*head, error) {
	h := &head{Revision: next.revision, Digest: next.digest, Snapshot: old.Snapshot, Retired: old.Retired}
	h.Changes = append(append(h.Changes, old.Changes...), changes...)
	// If the service was restored from a backup, its changes do not lead to
	// before, so the complete state is written.
	restored := old.Revision != before.revision || old.Digest != before.digest
	if restored {
		h.Changes = changes
	}
	if !restored && len(h.Changes) <= maxHeadChanges && len(h.encode()) <= maxHead {
		return h, nil
	}
	ref, err := s.saveSnapshot(ctx, next)
	if err != nil {
		return nil, err
	}
	h.Retired = old.Snapshot.Chunks
	h.Snapshot = ref
	h.trimTail()
	return h, nil
}
