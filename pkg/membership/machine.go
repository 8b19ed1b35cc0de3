package membership

// Machine is the share of a machine that an instance has. Zero figures are not known.
type Machine struct {
	// Cores is the processor time that it has, in cores of the usual speed.
	Cores float64
	// LinkMbps is the rate of its link, in millions of bits a second.
	LinkMbps float64
}

// ableFrom is the part of the ablest machine's figures from which another is taken to be as able:
// machines are drawn from few sizes, which differ by factors of four to ten.
const ableFrom = 0.5

// Able returns which of some machines are able to work for all others: those that have half or
// more of what the ablest has, of processor and link, whichever they are shorter of. Where
// nothing is known of any, all are. Some always are, also where all are small.
//
// One instance with a quarter of a large one's processor that plans for a quarter of all requests
// makes a quarter of them late (0.192 of a core, 4,600 pieces a second over four planners).
func Able(machines []Machine) []bool {
	var most Machine
	for _, m := range machines {
		most.Cores = max(most.Cores, m.Cores)
		most.LinkMbps = max(most.LinkMbps, m.LinkMbps)
	}
	shares := make([]float64, len(machines))
	best := 0.0
	for i, m := range machines {
		shares[i] = min(part(m.Cores, most.Cores), part(m.LinkMbps, most.LinkMbps))
		best = max(best, shares[i])
	}
	able := make([]bool, len(machines))
	for i, share := range shares {
		able[i] = share >= ableFrom*best
	}
	return able
}

// part is what a figure is of the greatest one; 1 where none is known.
func part(figure, greatest float64) float64 {
	if greatest <= 0 {
		return 1
	}
	return max(0, figure) / greatest
}
