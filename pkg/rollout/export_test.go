package rollout

// RunSynchronously runs all calls synchronously, so that runs are reproducible.
func (k *Manager) RunSynchronously() { k.spawn = func(call func()) { call() } }

// Include adds a reported tally.
func (t Tally) Include(other Tally) { t.merge(other) }

// Bounds is the number of histogram bounds.
const Bounds = bounds
