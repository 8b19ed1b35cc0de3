package peers

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/cobaltcroft/cobaltcroft/api/cobaltcroft/v1"
	"github.com/cobaltcroft/cobaltcroft/pkg/origin"
)

// maxOrigins bounds the records in one datagram. Each takes 16 bytes, besides the names of its version
// and service, so that a datagram is not fragmented.
const maxOrigins = 48

// encodeOrigins returns a signed datagram of records.
func encodeOrigins(records []origin.Record, secret []byte) ([]byte, error) {
	groups := map[origin.Origin]*pb.StreamOriginGroup{}
	wire := &pb.StreamOrigins{}
	for _, r := range records {
		group := groups[r.Origin]
		if group == nil {
			group = &pb.StreamOriginGroup{Service: r.Origin.Service, Version: r.Origin.Version}
			groups[r.Origin] = group
			wire.Groups = append(wire.Groups, group)
		}
		group.Streams = append(group.Streams, &pb.StreamOrigin{
			Key:      uint64(r.Key),
			TtlMs:    uint32(min(ageMs(r.TTL), math.MaxUint32)),
			Doubtful: r.Doubtful,
			Regional: r.Regional,
		})
	}
	body, err := proto.Marshal(wire)
	if err != nil {
		return nil, err
	}
	return sign(originsLabel, body, secret), nil
}

// decodeOrigins verifies and decodes a datagram of records. It returns false if the datagram is of
// another kind or invalid.
func decodeOrigins(data, secret []byte) ([]origin.Record, bool) {
	body, signed := verify(originsLabel, data, secret)
	if !signed {
		return nil, false
	}
	var wire pb.StreamOrigins
	if err := proto.Unmarshal(body, &wire); err != nil {
		return nil, false
	}
	var records []origin.Record
	for _, group := range wire.Groups {
		from := origin.Origin{Service: group.GetService(), Version: group.GetVersion()}
		for _, s := range group.Streams {
			records = append(records, origin.Record{
				Key:      origin.Key(s.GetKey()),
				Origin:   from,
				Doubtful: s.GetDoubtful(),
				Regional: s.GetRegional(),
				TTL:      time.Duration(s.GetTtlMs()) * time.Millisecond,
			})
		}
	}
	return records, true
}
