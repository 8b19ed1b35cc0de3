package once

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"
	"time"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

// TicketLife is how long a ticket may be used. It is far shorter than Retention, so
// that no ticket outlives the memory of its use.
const TicketLife = 2 * time.Minute

// Holder is one incarnation of one instance.
type Holder struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	// PeerAddress is where the other instances reach it.
	PeerAddress string `json:"peer_address"`
}

// Same tells whether two holders are the same incarnation of the same instance.
func (h Holder) Same(other Holder) bool {
	return h.Instance == other.Instance && h.Incarnation == other.Incarnation
}

// Ticket says which holder alone may run a request.
type Ticket struct {
	Organisation string `json:"organisation"`
	ID           string `json:"id"`
	Holder       Holder `json:"holder"`
	UntilMs      int64  `json:"until_ms"`
}

// Seal returns the ticket as text, signed with the secret that all instances share.
func (t Ticket) Seal(secret string) string {
	body, _ := json.Marshal(t)
	return encode(body) + "." + encode(sign(body, secret))
}

// Open checks a sealed ticket against the request that came with it.
func Open(text, secret string, key Key, now time.Time) (Ticket, error) {
	body, signature, found := strings.Cut(text, ".")
	data, bodyErr := base64.RawURLEncoding.DecodeString(body)
	given, signatureErr := base64.RawURLEncoding.DecodeString(signature)
	if !found || bodyErr != nil || signatureErr != nil || !hmac.Equal(given, sign(data, secret)) {
		return Ticket{}, badTicket("is not one of this system's")
	}
	var t Ticket
	if err := json.Unmarshal(data, &t); err != nil {
		return Ticket{}, badTicket("does not parse")
	}
	if t.Organisation != key.Organisation || t.ID != key.ID {
		return Ticket{}, badTicket("is for another request")
	}
	if now.UnixMilli() > t.UntilMs {
		return Ticket{}, problem.New(problem.Deadline, "find out from its effect whether the request ran before asking anew", "the ticket of request %s has ended", key.ID)
	}
	return t, nil
}

func badTicket(why string) error {
	return problem.New(problem.Invalid, "send the ticket unchanged with the request it was given for", "the ticket %s", why)
}

func sign(body []byte, secret string) []byte {
	mac := hmac.New(sha256.New, []byte(secret))
	mac.Write([]byte("ticket:"))
	mac.Write(body)
	return mac.Sum(nil)
}

func encode(data []byte) string { return base64.RawURLEncoding.EncodeToString(data) }
