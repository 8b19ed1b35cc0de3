// Package quarantine finds the requests that end the endpoints which run them, from what all
// instances have seen, so that they are refused.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

// digestSize is in bytes. Two of a billion requests have the same digest by chance with a
// likelihood of 1.5e-21, and none is found on purpose: one organisation can't have another's refused.
const digestSize = 16

// Digest tells which tries are the same request: those of one caller with the same path and body,
// whatever their ids, headers and connections.
type Digest [digestSize]byte

// Sum returns the digest of a request. The caller is its organisation, whose keys may change; empty
// where none is needed. The path is host and path as they came, query included.
func Sum(caller, host, path string, body []byte) Digest {
	h := sha256.New()
	writeField(h, caller)
	writeField(h, host)
	writeField(h, path)
	h.Write(body)
	return Digest(h.Sum(nil)[:digestSize])
}

// writeField writes a text so that where it ends can't be mistaken.
func writeField(h hash.Hash, text string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(text)))
	h.Write(length[:])
	_, _ = io.WriteString(h, text)
}

// String is the digest as logs and operators name it.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest reads a digest as String writes it.
func ParseDigest(text string) (Digest, error) {
	var d Digest
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != len(d) {
		return d, problem.New(problem.Invalid, "name the digest of the request's lines in the logs", "%q is no digest of %d bytes in hexadecimal", text, len(d))
	}
	copy(d[:], data)
	return d, nil
}
