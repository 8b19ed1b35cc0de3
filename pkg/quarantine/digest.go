// Package quarantine detects requests that crash the endpoints running them, based on the crashes
// seen by all instances, so that these requests can be refused.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

// digestSize is the size of a digest in bytes. It is large enough that collisions cannot be forced,
// so one organisation cannot get another's requests refused.
const digestSize = 16

// Digest identifies a request across attempts: the same caller, path and body, regardless of IDs,
// headers and connections. Or it identifies a part of a prompt.
type Digest [digestSize]byte

// Sum returns the digest of a request. The caller is the organisation, whose keys may change; empty
// if the route needs none. Host and path are as received, including the query.
func Sum(caller, host, path string, body []byte) Digest {
	h := sha256.New()
	writeField(h, caller)
	writeField(h, host)
	writeField(h, path)
	h.Write(body)
	return Digest(h.Sum(nil)[:digestSize])
}

// partLabel begins the digests of parts, so that none equals that of a request.
const partLabel = "part of a prompt"

// SumPart returns the digest of a part of a prompt for the endpoints of a service. It does not depend on
// the organisation: a part that crashes endpoints does so for each caller, and one that others run well
// is cleared by that.
func SumPart(service, part string) Digest {
	h := sha256.New()
	writeField(h, partLabel)
	writeField(h, service)
	writeField(h, part)
	return Digest(h.Sum(nil)[:digestSize])
}

// writeField writes a field with its length, so that field boundaries are unambiguous.
func writeField(h hash.Hash, text string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(text)))
	h.Write(length[:])
	_, _ = io.WriteString(h, text)
}

// String returns the hexadecimal form used in logs and by operators.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest parses the result of Digest.String.
func ParseDigest(text string) (Digest, error) {
	var d Digest
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != len(d) {
		return d, problem.New(problem.Invalid, "pass the digest from the log lines of the request", "%q is not a hexadecimal digest of %d bytes", text, len(d))
	}
	copy(d[:], data)
	return d, nil
}
