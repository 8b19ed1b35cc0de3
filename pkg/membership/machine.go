package membership

// Machine is an instance's share of its machine. Zero fields are unknown.
type Machine struct {
	// Cores is the available processor time, in cores of nominal speed.
	Cores float64
	// LinkMbps is the rate of its network link in Mbit/s.
	LinkMbps float64
}

// capableFraction is the least capacity, relative to the largest machine, that counts as equally
// capable. Machines come in a few sizes that differ by larger factors.
const capableFraction = 0.5

// Capable reports which machines are large enough to plan for the whole cluster: those with at least
// half of the largest machine's capacity, by the scarcer of processor and link. A resource that is
// unknown for all machines is ignored. At least one machine is always capable.
//
// An instance with a quarter of a large machine's processor (0.192 of a core) that planned for a
// quarter of all requests (4,600 pieces a second over four planners) made a quarter of them late.
func Capable(machines []Machine) []bool {
	var most Machine
	for _, m := range machines {
		most.Cores = max(most.Cores, m.Cores)
		most.LinkMbps = max(most.LinkMbps, m.LinkMbps)
	}
	shares := make([]float64, len(machines))
	best := 0.0
	for i, m := range machines {
		shares[i] = min(fraction(m.Cores, most.Cores), fraction(m.LinkMbps, most.LinkMbps))
		best = max(best, shares[i])
	}
	able := make([]bool, len(machines))
	for i, share := range shares {
		able[i] = share >= capableFraction*best
	}
	return able
}

// fraction returns a value as a fraction of the greatest one, or 1 if that is unknown.
func fraction(figure, greatest float64) float64 {
	if greatest <= 0 {
		return 1
	}
	return max(0, figure) / greatest
}
