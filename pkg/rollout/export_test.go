package rollout

// RunSynchronously runs all calls synchronously, so that runs are reproducible.
func (m *Manager) RunSynchronously() { m.spawn = func(call func()) { call() } }

// Include adds a reported tally.
func (t Tally) Include(other Tally) { t.merge(other) }

// Bounds is the number of histogram bounds.
const Bounds = bounds
