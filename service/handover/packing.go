package handover

import (
	"encoding/json"
	"sync"

	"github.com/cobaltcroft/cobaltcroft/pkg/discovery"
	"github.com/cobaltcroft/cobaltcroft/pkg/gzipcodec"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/service/api"
)

const (
	// packedFrom is from how many endpoints on an answer is packed. One takes 141 bytes as
	// JSON and 30 packed, as they go over the wire (BenchmarkPacking): where one relay tells 3,000 to 75
	// instances, 32 MB shrink to 7 MB on a link that carries 1.3 to 2.5 MB a second.
	packedFrom = 16
	// packsKept bounds the packed answers that are kept for others who ask the same.
	packsKept = 8
	// largestUnpacked bounds what a packed answer may unpack to, in bytes: 12,000 endpoints take 2 MB.
	largestUnpacked = 64 << 20
)

// packKey names what was packed: all endpoints as of a revision, or the changes since another one.
type packKey struct {
	whole    bool
	since    uint64
	revision uint64
}

// pack is a packed answer.
type pack struct {
	key  packKey
	data []byte
}

// packing packs endpoints for peers, and keeps them packed for the next that ask: those who rely on a
// relay ask for the same all at once. Safe for concurrent use.
type packing struct {
	mu   sync.Mutex
	kept []pack
}

// state returns the answer with all endpoints.
func (p *packing) state(known discovery.Known, packs bool) api.Known {
	answer := api.Known{Known: known}
	if !packs || len(known.State.Endpoints) < packedFrom {
		return answer
	}
	data, err := p.pack(packKey{whole: true, revision: known.State.Revision}, known.State.Endpoints)
	if err == nil {
		answer.PackedEndpoints, answer.State.Endpoints = data, nil
	}
	return answer
}

// changes returns the answer with the changes since a revision.
func (p *packing) changes(since uint64, told discovery.Relayed, packs bool) api.Relayed {
	answer := api.Relayed{Relayed: told}
	if !packs || len(told.Changes.Endpoints) < packedFrom {
		return answer
	}
	data, err := p.pack(packKey{since: since, revision: told.Changes.Revision}, told.Changes.Endpoints)
	if err == nil {
		answer.PackedChanges, answer.Changes.Endpoints = data, nil
	}
	return answer
}

// pack returns a value packed. Those who ask for the same meanwhile wait for it.
func (p *packing) pack(key packKey, value any) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, k := range p.kept {
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
	p.kept = append(p.kept, pack{key, data})
	if len(p.kept) > packsKept {
		p.kept = p.kept[1:]
	}
	return data, nil
}

// unpack reads what a peer packed into a value; nothing if it packed nothing.
func unpack(data []byte, value any) error {
	if len(data) == 0 {
		return nil
	}
	plain, err := gzipcodec.Decompress(data, largestUnpacked)
	if err == nil {
		err = json.Unmarshal(plain, value)
	}
	if err != nil {
		return problem.Wrap(err, problem.Invalid, "ask another peer", "packed endpoints do not unpack")
	}
	return nil
}
