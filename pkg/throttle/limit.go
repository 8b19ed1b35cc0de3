package throttle

import "time"

// Limit is what an endpoint's life said last of how much it takes, as instances tell each other.
type Limit struct {
	// Life is the ID of the endpoint's life.
	Life string
	// Limited: it takes no more than PerSecond requests a second, from all instances together; otherwise it names
	// no limit any more.
	Limited   bool
	PerSecond float64
	// Age is how long ago it said so, at the most.
	Age time.Duration
}

// Ask asks the instance that grants the calls to an endpoint for some.
type Ask struct {
	Life   string `json:"life"`
	Wanted int    `json:"wanted"`
	// PerSecond is the limit that the asker knows of, heard AgeMs ago: the instance asked may not have heard of it.
	PerSecond float64 `json:"per_second"`
	AgeMs     int64   `json:"age_ms"`
}

// Grant answers an Ask.
type Grant struct {
	// Granted is how many calls the asker may begin within permitLife of its asking.
	Granted int `json:"granted"`
	// AfterMs is when to ask again, where none are granted.
	AfterMs int64 `json:"after_ms"`
	// Lifted: the endpoint names no limit any more, as of AgeMs ago.
	Lifted bool  `json:"lifted"`
	AgeMs  int64 `json:"age_ms"`
}

// Peer is an instance.
type Peer struct {
	Name          string
	Address       string
	FailureDomain string
	// Incarnation grows with each start.
	Incarnation uint64
}
