package origin

// Flush sends the collected records at once.
func (r *Registry) Flush() { r.flush() }
