package gateway

import (
	"context"
	"maps"
	"time"
)

// While the endpoints of a service fail when they reject too many calls, an instance only sends as
// many as there is room for, and always only as many as it may open connections for. Other requests wait here, where nothing is lost by it, and are refused
// if there is no room soon.

const (
	// roomPoll is the time after which a request that waits for room looks again.
	roomPoll = 15 * time.Millisecond
	// maxRoomWaiting bounds the requests that wait for room, which all look at the same endpoints.
	maxRoomWaiting = 64
	// maxRoomRejections is how many endpoints may reject a request for want of room. If it were offered
	// to all in turn, each would have to reject it.
	maxRoomRejections = 2
)

// awaitRoom waits for a short time and reports whether the request may look for room again. A request
// whose stages have run may wait longer, because their results would be wasted.
func (u *run) awaitRoom(ctx context.Context) bool {
	latest := u.Clock.Now().Add(roomPoll)
	if latest.After(u.objectiveEnd()) || len(u.inputs) == 0 && u.backoffWaited+roomPoll > u.retryAfter() {
		return false
	}
	defer u.roomWaiting.Add(-1)
	if u.roomWaiting.Add(1) > maxRoomWaiting {
		return false
	}
	u.backoffWaited += roomPoll
	clear(u.allInUse)
	return u.wait(ctx, roomPoll)
}

// excluded returns the endpoints that the request must not be sent to now.
func (u *run) excluded() map[string]bool {
	if len(u.allInUse) == 0 {
		return u.tried
	}
	excluded := maps.Clone(u.tried)
	maps.Copy(excluded, u.allInUse)
	return excluded
}

// awaitConnection waits for a short time and reports whether the request may look again for an endpoint to
// which this instance may open a connection.
func (u *run) awaitConnection(ctx context.Context) bool {
	return len(u.allInUse) > 0 && u.awaitRoom(ctx)
}

// rejectedForRoom records that an endpoint did not run the request, and reports whether it should be
// offered to no other one.
func (u *run) rejectedForRoom() bool {
	if !u.Balancer.RoomLimited(u.ready(u.service.Name)) {
		return false
	}
	u.roomRejections++
	return u.roomRejections >= maxRoomRejections
}
