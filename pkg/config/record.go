package config

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

// The size limits of stored records.
const (
	// maxHead is the size of the head record in bytes above which its changes are
	// compacted into a snapshot.
	maxHead = 256 << 10
	// maxHeadChanges is the number of changes in the head that triggers compaction.
	maxHeadChanges = 256
	// tailChanges and tailBytes limit the changes that remain in the head after
	// compaction, so that slightly outdated replicas need not load the snapshot.
	tailChanges = 32
	tailBytes   = 64 << 10
	// chunkBytes is the maximum size of a snapshot chunk.
	chunkBytes = 900 << 10
	// maxSnapshot is the maximum size of a decompressed snapshot in bytes.
	maxSnapshot = 256 << 20
)

// head is the record that determines which changes are accepted. It is only
// modified by compare-and-swap.
type head struct {
	Revision uint64 `json:"revision"`
	// Digest is the configuration's digest at Revision.
	Digest uint64 `json:"digest,string"`
	// Snapshot references a snapshot taken at Revision or earlier.
	Snapshot snapshotRef `json:"snapshot"`
	// Changes ends at Revision and starts at or before Snapshot.Revision + 1.
	Changes []Change `json:"changes"`
	// Retired lists the chunks of the previous snapshot. They are kept for readers
	// of the previous head and deleted after the next compaction.
	Retired []string `json:"retired,omitempty"`
}

// snapshotRef references the immutable chunks of a snapshot.
type snapshotRef struct {
	Revision uint64   `json:"revision"`
	Chunks   []string `json:"chunks,omitempty"`
}

// snapshot is the complete configuration, stored as gzipped JSON split into chunks.
type snapshot struct {
	Revision uint64           `json:"revision"`
	Digest   uint64           `json:"digest,string"`
	Objects  []StoredObject   `json:"objects"`
	Accepted []AcceptedChange `json:"accepted"`
}

func decodeHead(data []byte) (*head, error) {
	if len(data) == 0 {
		return &head{}, nil
	}
	h := &head{}
	if err := json.Unmarshal(data, h); err != nil {
		return nil, problem.Wrap(err, problem.Internal, "restore the head record from the platform's backup", "failed to parse the configuration head record")
	}
	return h, nil
}

func (h *head) encode() []byte {
	data, _ := json.Marshal(h)
	return data
}

// trimTail drops all but the newest changes from the head.
func (h *head) trimTail() {
	size, first := 0, len(h.Changes)
	for first > 0 && len(h.Changes)-first < tailChanges {
		data, _ := json.Marshal(h.Changes[first-1])
		size += len(data)
		if size > tailBytes {
			break
		}
		first--
	}
	h.Changes = append([]Change(nil), h.Changes[first:]...)
}

// EncodeSnapshot returns the configuration as gzipped JSON.
func EncodeSnapshot(c *Configuration) ([]byte, error) {
	s := snapshot{Revision: c.revision, Digest: c.digest, Accepted: c.accepted}
	for _, key := range c.Keys() {
		stored, _ := c.Get(key)
		s.Objects = append(s.Objects, stored)
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if err := json.NewEncoder(w).Encode(s); err != nil {
		return nil, problem.Wrap(err, problem.Internal, "report this", "failed to encode snapshot")
	}
	if err := w.Close(); err != nil {
		return nil, problem.Wrap(err, problem.Internal, "report this", "failed to compress snapshot")
	}
	return b.Bytes(), nil
}

// DecodeSnapshot decodes the output of EncodeSnapshot.
func DecodeSnapshot(data []byte) (*Configuration, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, corruptSnapshot(err)
	}
	var s snapshot
	if err := json.NewDecoder(io.LimitReader(r, maxSnapshot)).Decode(&s); err != nil {
		return nil, corruptSnapshot(err)
	}
	c := &Configuration{revision: s.Revision, digest: s.Digest, objects: map[Kind]map[string]StoredObject{}, accepted: s.Accepted}
	for _, stored := range s.Objects {
		key := stored.Object.Key()
		if c.objects[key.Kind] == nil {
			c.objects[key.Kind] = map[string]StoredObject{}
		}
		c.objects[key.Kind][key.Name] = stored
	}
	return c, nil
}

func corruptSnapshot(err error) error {
	return problem.Wrap(err, problem.Unavailable, "read it again, or from another instance", "corrupt configuration snapshot")
}
