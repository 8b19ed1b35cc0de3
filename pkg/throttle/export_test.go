package throttle

// Start has asks run by start, and random numbers come from draw.
func (k *Keeper) Start(start func(func()), draw func() float64) { k.start, k.draw = start, draw }

// What the model needs to know.
const (
	PermitLife     = permitLife
	Settling       = settling
	LeastPerSecond = leastPerSecond
)
