package peers

import (
	"crypto/hmac"
	"crypto/sha256"
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/cobaltcroft/cobaltcroft/api/cobaltcroft/v1"
	"github.com/cobaltcroft/cobaltcroft/pkg/control"
	"github.com/cobaltcroft/cobaltcroft/pkg/membership"
	"github.com/cobaltcroft/cobaltcroft/pkg/ownership"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
	"github.com/cobaltcroft/cobaltcroft/pkg/quarantine"
	"github.com/cobaltcroft/cobaltcroft/pkg/ratelimit"
	"github.com/cobaltcroft/cobaltcroft/pkg/throttle"
	"github.com/cobaltcroft/cobaltcroft/pkg/timeline"
)

const (
	// signatureSize is the length in bytes of the truncated HMAC-SHA256 before the body of a
	// datagram.
	signatureSize = 16
	// maxDatagram bounds the size of a datagram in bytes.
	maxDatagram = 8 << 10
	// maxLeaving bounds the leaving endpoints in one heartbeat. A longer list is spread over several
	// heartbeats.
	maxLeaving = 64
)

// datagram is a heartbeat with the other contents of its datagram.
type datagram struct {
	heartbeat membership.Heartbeat
	leaving   []control.LeavingEndpoint
	demands   []ratelimit.Demand
	stamp     timeline.Stamp
}

// encode returns the signed datagram of a heartbeat.
func encode(b datagram, secret []byte) ([]byte, error) {
	h := b.heartbeat
	wire := &pb.Heartbeat{
		Instance:             h.From.Name,
		Incarnation:          h.From.Incarnation,
		FailureDomain:        h.From.FailureDomain,
		PeerAddress:          h.From.PeerAddress,
		Leaving:              h.Leaving,
		Revision:             h.Revision,
		ConfigurationVersion: h.ConfigVersion,
		WallMs:               b.stamp.WallMs,
		Logical:              b.stamp.Logical,
		Suspects:             h.Suspects,
		Sequence:             h.Sequence,
	}
	for _, e := range rotate(b.leaving, h.Sequence) {
		wire.LeavingEndpoints = append(wire.LeavingEndpoints, &pb.LeavingEndpoint{Name: e.Name, Incarnation: e.Incarnation})
	}
	for _, d := range b.demands {
		wire.Demands = append(wire.Demands, &pb.Demand{Organisation: d.Organisation, PerSecond: float32(d.PerSecond)})
	}
	for _, k := range h.Known {
		wire.Known = append(wire.Known, &pb.KnownInstance{Instance: k.Name, PeerAddress: k.PeerAddress, FailureDomain: k.FailureDomain})
	}
	for _, c := range h.Claims {
		wire.Claims = append(wire.Claims, encodeClaim(c, h.From))
	}
	if d := h.Division; d.Term > 0 {
		wire.Division = &pb.Division{Parts: uint32(d.Parts), Term: d.Term}
	}
	for _, e := range h.Ends {
		switch e.Kind {
		case quarantine.Request:
			wire.Ends = append(wire.Ends, encodeEnd(e))
		case quarantine.PromptPart:
			wire.PartEnds = append(wire.PartEnds, encodeEnd(e))
		}
	}
	for _, l := range h.Limits {
		wire.Limits = append(wire.Limits, encodeLimit(l))
	}
	if m := h.From.Machine; m != (membership.Machine{}) {
		wire.Machine = &pb.Machine{Cores: float32(m.Cores), LinkMbps: float32(m.LinkMbps)}
	}
	body, err := proto.Marshal(wire)
	if err != nil {
		return nil, err
	}
	return sign(heartbeatLabel, body, secret), nil
}

// rotate returns up to maxLeaving endpoints, rotating with the sequence number.
func rotate(leaving []control.LeavingEndpoint, sequence uint64) []control.LeavingEndpoint {
	n := uint64(len(leaving))
	if n <= maxLeaving {
		return leaving
	}
	picked := make([]control.LeavingEndpoint, 0, maxLeaving)
	for i := range uint64(maxLeaving) {
		picked = append(picked, leaving[(sequence*maxLeaving+i)%n])
	}
	return picked
}

// decode verifies and decodes a datagram.
func decode(data, secret []byte) (datagram, error) {
	body, signed := verify(heartbeatLabel, data, secret)
	if !signed {
		return datagram{}, problem.New(problem.Denied, "give all instances the same tokens.peers", "the datagram is not signed with the peer token")
	}
	var wire pb.Heartbeat
	if err := proto.Unmarshal(body, &wire); err != nil {
		return datagram{}, problem.Wrap(err, problem.Invalid, "run one version of the program", "invalid heartbeat")
	}
	b := datagram{
		heartbeat: membership.Heartbeat{
			From: membership.Instance{
				Name:          wire.Instance,
				Incarnation:   wire.Incarnation,
				FailureDomain: wire.FailureDomain,
				PeerAddress:   wire.PeerAddress,
				Machine: membership.Machine{
					Cores:    float64(wire.GetMachine().GetCores()),
					LinkMbps: float64(wire.GetMachine().GetLinkMbps()),
				},
			},
			Sequence:      wire.Sequence,
			Leaving:       wire.Leaving,
			Revision:      wire.Revision,
			ConfigVersion: wire.ConfigurationVersion,
			Suspects:      wire.Suspects,
			Division:      ownership.Division{Parts: int(wire.GetDivision().GetParts()), Term: wire.GetDivision().GetTerm()},
		},
		stamp: timeline.Stamp{WallMs: wire.WallMs, Logical: wire.Logical},
	}
	for _, e := range wire.LeavingEndpoints {
		b.leaving = append(b.leaving, control.LeavingEndpoint{Name: e.Name, Incarnation: e.Incarnation})
	}
	for _, d := range wire.Demands {
		b.demands = append(b.demands, ratelimit.Demand{Organisation: d.Organisation, PerSecond: float64(d.PerSecond)})
	}
	for _, c := range wire.Claims {
		b.heartbeat.Claims = append(b.heartbeat.Claims, decodeClaim(c, b.heartbeat.From))
	}
	b.heartbeat.Ends = append(decodeEnds(wire.Ends, quarantine.Request), decodeEnds(wire.PartEnds, quarantine.PromptPart)...)
	for _, l := range wire.Limits {
		if limit, ok := decodeLimit(l); ok {
			b.heartbeat.Limits = append(b.heartbeat.Limits, limit)
		}
	}
	for _, k := range wire.Known {
		b.heartbeat.Known = append(b.heartbeat.Known, membership.Instance{Name: k.Instance, PeerAddress: k.PeerAddress, FailureDomain: k.FailureDomain})
	}
	return b, nil
}

// encodeClaim omits the owner if it is the sender.
func encodeClaim(c ownership.Claim, from membership.Instance) *pb.Claim {
	wire := &pb.Claim{Part: uint32(c.Part.Number), Of: uint32(c.Part.Of), Term: c.Term, Provisional: c.Provisional}
	if c.Owner != from.Owner() {
		wire.Owner, wire.Incarnation, wire.PeerAddress = c.Owner.Name, c.Owner.Incarnation, c.Owner.PeerAddress
	}
	return wire
}

func decodeClaim(wire *pb.Claim, from membership.Instance) ownership.Claim {
	c := ownership.Claim{Part: ownership.Part{Number: int(wire.Part), Of: int(wire.Of)}, Term: wire.Term, Owner: from.Owner(), Provisional: wire.Provisional}
	if wire.Owner != "" {
		c.Owner = ownership.Owner{Name: wire.Owner, Incarnation: wire.Incarnation, PeerAddress: wire.PeerAddress}
	}
	return c
}

func encodeEnd(e quarantine.Crash) *pb.EndpointEnd {
	return &pb.EndpointEnd{Digest: e.Digest[:], Life: e.Incarnation, AgeMs: ageMs(e.Age), Cleared: e.Cleared}
}

// decodeEnds returns the valid ones of the ends of a kind.
func decodeEnds(wire []*pb.EndpointEnd, k quarantine.Kind) []quarantine.Crash {
	var ends []quarantine.Crash
	for _, e := range wire {
		if end, ok := decodeEnd(e); ok {
			end.Kind = k
			ends = append(ends, end)
		}
	}
	return ends
}

// decodeEnd reports false if the end has no endpoint or no valid digest.
func decodeEnd(wire *pb.EndpointEnd) (quarantine.Crash, bool) {
	e := quarantine.Crash{
		Incarnation: wire.GetLife(),
		Age:         age(wire.GetAgeMs()),
		Cleared:     wire.GetCleared(),
	}
	named := copy(e.Digest[:], wire.GetDigest()) == len(e.Digest) && len(wire.GetDigest()) == len(e.Digest)
	return e, named && e.Incarnation != ""
}

func encodeLimit(l throttle.Limit) *pb.EndpointLimit {
	return &pb.EndpointLimit{Life: l.EndpointID, Limited: l.Limited, PerSecond: float32(l.PerSecond), AgeMs: ageMs(l.Age)}
}

// decodeLimit reports false if the limit has no endpoint or no valid rate.
func decodeLimit(wire *pb.EndpointLimit) (throttle.Limit, bool) {
	l := throttle.Limit{EndpointID: wire.GetLife(), Limited: wire.GetLimited(), PerSecond: float64(wire.GetPerSecond()), Age: age(wire.GetAgeMs())}
	return l, l.EndpointID != "" && l.PerSecond >= 0 && !math.IsInf(l.PerSecond, 0)
}

func ageMs(age time.Duration) uint64 { return uint64(max(0, age.Milliseconds())) }

func age(ms uint64) time.Duration { return time.Duration(min(ms, math.MaxInt32)) * time.Millisecond }

// Labels of the kinds of datagrams. They are part of the signature, so that none is taken for another.
const (
	heartbeatLabel = "heartbeat:"
	originsLabel   = "origins:"
)

// sign returns a datagram with its signature in front of the body.
func sign(label string, body, secret []byte) []byte {
	return append(signature(label, body, secret), body...)
}

// verify returns the body of a datagram, and whether it has the signature of that kind.
func verify(label string, data, secret []byte) (body []byte, signed bool) {
	if len(data) < signatureSize {
		return nil, false
	}
	body = data[signatureSize:]
	return body, hmac.Equal(data[:signatureSize], signature(label, body, secret))
}

func signature(label string, body, secret []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(label))
	mac.Write(body)
	return mac.Sum(nil)[:signatureSize]
}
