package once

import (
	"context"
	"encoding/json"
	"net/url"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"github.com/cobaltcroft/cobaltcroft/pkg/infra"
	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

const (
	claimPrefix = "cobaltcroft/claim/"
	// leaseParts is into how many parts the retention is cut: each part has its
	// own lease, so that few leases carry many claims.
	leaseParts = 24
	// claimTries bounds the writes of one claim when answers are lost.
	claimTries = 3
)

// Claims binds requests to holders in the key-value service.
type Claims struct {
	kv        infra.KeyValue
	clock     clockwork.Clock
	retention time.Duration
	self      Holder

	mu      sync.Mutex
	lease   infra.LeaseID
	granted time.Time
}

// NewClaims returns claims for self, kept by the service for retention or a little longer.
func NewClaims(kv infra.KeyValue, clock clockwork.Clock, retention time.Duration, self Holder) *Claims {
	return &Claims{kv: kv, clock: clock, retention: retention, self: self}
}

// claim is the value of a claim's key.
type claim struct {
	Holder Holder `json:"holder"`
	// Nonce tells the claim of one call from that of another of the same holder.
	Nonce string `json:"nonce"`
}

// Claim binds the request to this instance unless it is bound, and returns whom it
// is bound to, and whether this call bound it. After an error nothing is known to
// be bound; a binding that exists all the same is to this instance.
func (c *Claims) Claim(ctx context.Context, key Key) (holder Holder, fresh bool, err error) {
	own := claim{Holder: c.self, Nonce: uuid.NewString()}
	for range claimTries {
		var found claim
		found, err = c.try(ctx, key, own)
		if err == nil {
			return found.Holder, found.Nonce == own.Nonce, nil
		}
		if problem.KindOf(err) != problem.Unknown || ctx.Err() != nil {
			break
		}
	}
	return Holder{}, false, err
}

func (c *Claims) try(ctx context.Context, key Key, own claim) (claim, error) {
	lease, err := c.currentLease(ctx)
	if err != nil {
		return claim{}, err
	}
	data, err := json.Marshal(own)
	if err != nil {
		return claim{}, problem.Wrap(err, problem.Internal, "report this", "claim does not encode")
	}
	_, err = c.kv.CompareAndSwap(ctx, claimKey(key), 0, data, lease)
	if err == nil {
		return own, nil
	}
	if problem.KindOf(err) != problem.Conflict {
		return claim{}, err
	}
	return c.read(ctx, key)
}

// read returns a claim that exists.
func (c *Claims) read(ctx context.Context, key Key) (claim, error) {
	value, err := c.kv.Get(ctx, claimKey(key))
	if err != nil {
		return claim{}, err
	}
	if !value.Found() {
		return claim{}, problem.New(problem.Unknown, "try again", "the claim of request %s went while it was read", key.ID)
	}
	var found claim
	if err := json.Unmarshal(value.Data, &found); err != nil {
		return claim{}, problem.Wrap(err, problem.Internal, "remove the key "+claimKey(key), "the claim of request %s does not parse", key.ID)
	}
	return found, nil
}

func (c *Claims) currentLease(ctx context.Context) (infra.LeaseID, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	part := c.retention / leaseParts
	if c.lease != 0 && c.clock.Since(c.granted) < part {
		return c.lease, nil
	}
	granted := c.clock.Now()
	lease, err := c.kv.Grant(ctx, c.retention+part)
	if err != nil {
		// A lease whose grant was lost holds no keys and ends by itself.
		return 0, problem.Wrap(err, problem.Unavailable, "ask again with the ticket", "no lease for claims")
	}
	c.lease, c.granted = lease, granted
	return lease, nil
}

func claimKey(key Key) string {
	return claimPrefix + url.PathEscape(key.Organisation) + "/" + url.PathEscape(key.ID)
}
