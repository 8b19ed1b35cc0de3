package origin

// Flush sends the collected records at once.
func (r *Registry) Flush() { r.flush() }

// Confirmations returns how often endpoints have said which incarnation they are.
func (r *Registry) Confirmations() int64 {
	return int64(r.confirmations[Listed].Get() + r.confirmations[Unlisted].Get())
}
