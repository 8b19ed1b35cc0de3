package handover

import (
	"encoding/json"
	"sync"

	"github.com/cobaltcroft/cobaltcroft/pkg/discovery"
	"github.com/cobaltcroft/cobaltcroft/pkg/gzipcodec"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/pkg/revision"
	"github.com/cobaltcroft/cobaltcroft/service/api"
)

const (
	// minPackedEndpoints is the least number of endpoints in an answer that is compressed. An endpoint
	// takes 141 bytes as JSON and 30 compressed (BenchmarkPacking): an answer of 3,000 endpoints to 75
	// instances shrinks from 32 to 7 MB, on a link of 1.3 to 2.5 MB a second.
	minPackedEndpoints = 16
	// maxCachedAnswers bounds the cache of compressed answers.
	maxCachedAnswers = 8
	// maxUnpackedBytes bounds the size of a decompressed answer, in bytes. 12,000 endpoints take 2 MB.
	maxUnpackedBytes = 64 << 20
)

// packedKey identifies the content of a compressed answer: all endpoints at a revision, or the
// changes between two revisions.
type packedKey struct {
	whole    bool
	since    revision.Revision
	revision revision.Revision
}

// packedAnswer is a compressed answer.
type packedAnswer struct {
	key  packedKey
	data []byte
}

// endpointPacker compresses endpoints for peers and caches the results, since the followers of a
// relay ask for the same content at once. Safe for concurrent use.
type endpointPacker struct {
	mu    sync.Mutex
	cache []packedAnswer
}

// state returns an answer with all endpoints, compressed if the peer supports it.
func (p *endpointPacker) state(known discovery.PeerState, packs bool) api.StateResponse {
	answer := api.StateResponse{PeerState: known}
	if !packs || len(known.State.Endpoints) < minPackedEndpoints {
		return answer
	}
	data, err := p.pack(packedKey{whole: true, revision: known.State.Revision}, known.State.Endpoints)
	if err == nil {
		answer.PackedEndpoints, answer.State.Endpoints = data, nil
	}
	return answer
}

// changes returns an answer with the changes since a revision, compressed if the peer supports it.
func (p *endpointPacker) changes(since revision.Revision, told discovery.RelayResponse, packs bool) api.RelayResponse {
	answer := api.RelayResponse{RelayResponse: told}
	if !packs || len(told.Changes.Endpoints) < minPackedEndpoints {
		return answer
	}
	data, err := p.pack(packedKey{since: since, revision: told.Changes.Revision}, told.Changes.Endpoints)
	if err == nil {
		answer.PackedChanges, answer.Changes.Endpoints = data, nil
	}
	return answer
}

// pack returns the compressed JSON of a value. It holds the lock while compressing, so that
// concurrent requests for the same content share one result.
func (p *endpointPacker) pack(key packedKey, value any) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, k := range p.cache {
		if k.key == key {
			return k.data, nil
		}
	}
	plain, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	data, err := gzipcodec.Compress(plain)
	if err != nil {
		return nil, err
	}
	p.cache = append(p.cache, packedAnswer{key, data})
	if len(p.cache) > maxCachedAnswers {
		p.cache = p.cache[1:]
	}
	return data, nil
}

// unpack decompresses JSON from a peer into a value. Empty data leaves the value unchanged.
func unpack(data []byte, value any) error {
	if len(data) == 0 {
		return nil
	}
	plain, err := gzipcodec.Decompress(data, maxUnpackedBytes)
	if err == nil {
		err = json.Unmarshal(plain, value)
	}
	if err != nil {
		return problem.Wrap(err, problem.Invalid, "ask another peer", "cannot decompress the endpoints sent by a peer")
	}
	return nil
}
