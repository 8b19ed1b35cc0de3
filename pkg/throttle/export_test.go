package throttle

// SetHooks replaces how requests are started and the source of random numbers.
func (k *Keeper) SetHooks(start func(func()), random func() float64) {
	k.start, k.random = start, random
}

// Constants for the tests.
const (
	PermitTTL    = permitTTL
	SettleTime   = settleTime
	MinPerSecond = minPerSecond
)
