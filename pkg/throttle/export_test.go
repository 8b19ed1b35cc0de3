package throttle

// SetHooks replaces how requests are started and the source of random numbers.
func (l *Limiter) SetHooks(start func(func()), random func() float64) {
	l.start, l.random = start, random
}

// Constants for the tests.
const (
	PermitTTL    = permitTTL
	SettleTime   = settleTime
	MinPerSecond = minPerSecond
)
