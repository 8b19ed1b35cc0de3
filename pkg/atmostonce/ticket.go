package atmostonce

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

// TicketLife is how long a ticket is valid. It is much shorter than Retention, so that the table
// still holds the record of a ticket's use when the ticket expires.
const TicketLife = 2 * time.Minute

// Holder identifies one incarnation of an instance.
type Holder struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	// PeerAddress is the address for other instances.
	PeerAddress string `json:"peer_address"`
}

// Same reports whether two holders are the same incarnation of the same instance.
func (h Holder) Same(other Holder) bool {
	return h.Instance == other.Instance && h.Incarnation == other.Incarnation
}

// Ticket names the only holder that may run a request.
type Ticket struct {
	Organisation string `json:"organisation"`
	ID           string `json:"id"`
	Holder       Holder `json:"holder"`
	UntilMs      int64  `json:"until_ms"`
}

// Sign returns the encoded ticket, signed with the secret shared by all instances.
func (t Ticket) Sign(secret string) string {
	body, _ := json.Marshal(t)
	return encode(body) + "." + encode(computeMAC(body, secret))
}

// Verify decodes a signed ticket and checks it against the request it came with.
func Verify(text, secret string, key Key, now time.Time) (Ticket, error) {
	body, signature, found := strings.Cut(text, ".")
	data, bodyErr := base64.RawURLEncoding.DecodeString(body)
	given, signatureErr := base64.RawURLEncoding.DecodeString(signature)
	if !found || bodyErr != nil || signatureErr != nil || !hmac.Equal(given, computeMAC(data, secret)) {
		return Ticket{}, invalidTicket("has no valid signature")
	}
	var t Ticket
	if err := json.Unmarshal(data, &t); err != nil {
		return Ticket{}, invalidTicket("can't be decoded")
	}
	if t.Organisation != key.Organisation || t.ID != key.ID {
		return Ticket{}, invalidTicket("was issued for a different request")
	}
	if now.UnixMilli() > t.UntilMs {
		return Ticket{}, problem.New(problem.Deadline, "check the effect of the request before sending it again", "the ticket of request %s has expired", key.ID)
	}
	return t, nil
}

func invalidTicket(why string) error {
	return problem.New(problem.Invalid, "send the ticket unchanged with the request it was issued for", "the ticket %s", why)
}

func computeMAC(body []byte, secret string) []byte {
	mac := hmac.New(sha256.New, []byte(secret))
	mac.Write([]byte("ticket:"))
	mac.Write(body)
	return mac.Sum(nil)
}

func encode(data []byte) string { return base64.RawURLEncoding.EncodeToString(data) }
