package rollout

// AtOnce has all calls end before what began them goes on, so that a run repeats.
func (k *Keeper) AtOnce() { k.begin = func(call func()) { call() } }

// Include adds another tally, as the conductor does with those that are reported.
func (t Tally) Include(other Tally) { t.include(other) }

// Bounds is how many bounds tell the times of answers apart.
const Bounds = bounds
