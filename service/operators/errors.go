package operators

import (
	"connectrpc.com/connect"

	pb "github.com/cobaltcroft/cobaltcroft/api/cobaltcroft/v1"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

var codes = map[problem.Kind]connect.Code{
	problem.Invalid:     connect.CodeInvalidArgument,
	problem.Conflict:    connect.CodeAborted,
	problem.Unavailable: connect.CodeUnavailable,
	problem.Unknown:     connect.CodeUnknown,
	problem.NotFound:    connect.CodeNotFound,
	problem.Denied:      connect.CodeUnauthenticated,
	problem.Overloaded:  connect.CodeResourceExhausted,
	problem.Deadline:    connect.CodeDeadlineExceeded,
	problem.Internal:    connect.CodeInternal,
}

// connectError converts err to a Connect error with a ProblemDetail.
func connectError(err error) error {
	p := problem.Find(err)
	if p == nil {
		return connect.NewError(connect.CodeInternal, err)
	}
	wire := connect.NewError(codes[p.Kind], err)
	detail, detailErr := connect.NewErrorDetail(&pb.ProblemDetail{Kind: string(p.Kind), Remedy: p.Remedy, Faults: p.Faults})
	if detailErr == nil {
		wire.AddDetail(detail)
	}
	return wire
}
