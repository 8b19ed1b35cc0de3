package atmostonce

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
	// leasesPerRetention is the number of leases created within the retention time. Claims share
	// leases to keep their number small.
	leasesPerRetention = 24
	// maxClaimAttempts bounds the writes of one claim when responses are lost.
	maxClaimAttempts = 3
)

// Claims binds requests to instances in the key-value service.
type Claims struct {
	kv        infra.KeyValue
	clock     clockwork.Clock
	retention time.Duration
	self      Holder

	mu      sync.Mutex
	lease   infra.LeaseID
	granted time.Time
}

// NewClaims returns claims for the instance self. The service keeps each claim for at least the
// retention time.
func NewClaims(kv infra.KeyValue, clock clockwork.Clock, retention time.Duration, self Holder) *Claims {
	return &Claims{kv: kv, clock: clock, retention: retention, self: self}
}

// claim is the stored value of a claim.
type claim struct {
	Holder Holder `json:"holder"`
	// Nonce distinguishes the claims of different calls by the same holder.
	Nonce string `json:"nonce"`
}

// Claim binds the request to this instance unless it is already bound. It returns the holder and
// whether this call created the binding. On error the binding is unknown, but if this call created
// one, it is to this instance.
func (c *Claims) Claim(ctx context.Context, key Key) (holder Holder, created bool, err error) {
	own := claim{Holder: c.self, Nonce: uuid.NewString()}
	for range maxClaimAttempts {
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
		return claim{}, problem.Wrap(err, problem.Internal, "report a bug", "encode the claim")
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

// read returns an existing claim.
func (c *Claims) read(ctx context.Context, key Key) (claim, error) {
	value, err := c.kv.Get(ctx, claimKey(key))
	if err != nil {
		return claim{}, err
	}
	if !value.Found() {
		return claim{}, problem.New(problem.Unknown, "retry", "the claim of request %s expired while it was read", key.ID)
	}
	var found claim
	if err := json.Unmarshal(value.Data, &found); err != nil {
		return claim{}, problem.Wrap(err, problem.Internal, "delete the key "+claimKey(key), "decode the claim of request %s", key.ID)
	}
	return found, nil
}

func (c *Claims) currentLease(ctx context.Context) (infra.LeaseID, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	period := c.retention / leasesPerRetention
	if c.lease != 0 && c.clock.Since(c.granted) < period {
		return c.lease, nil
	}
	granted := c.clock.Now()
	lease, err := c.kv.Grant(ctx, c.retention+period)
	if err != nil {
		// If the response to the grant was lost, the lease holds no keys and expires unused.
		return 0, problem.Wrap(err, problem.Unavailable, "retry with a ticket", "grant a lease for claims")
	}
	c.lease, c.granted = lease, granted
	return lease, nil
}

func claimKey(key Key) string {
	return claimPrefix + url.PathEscape(key.Organisation) + "/" + url.PathEscape(key.ID)
}
