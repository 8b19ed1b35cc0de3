package balance

import "math"

// coefficients are those of a prefill model: milliseconds in total, per thousand tokens and per
// million pairs of tokens.
type coefficients [3]float64

// The bounds are 10 to 500 ms in total and 20 to 1,000 tokens per millisecond.
var (
	priorCoefficients = coefficients{60, 20, 0}
	minCoefficients   = coefficients{10, 1, 0}
	maxCoefficients   = coefficients{500, 50, 2}
	// priorDeviations are the expected deviations from the prior. They are wide enough for a few
	// samples to replace it.
	priorDeviations = coefficients{150, 20, 0.3}
)

const (
	// sampleNoise is the relative standard deviation of samples.
	sampleNoise = 0.25
	// outlierError is the relative error at which the weight of a sample is halved. The weight falls
	// slowly enough for samples that are all outliers to replace the prior.
	outlierError = 0.1
	// fitRounds is the number of times that the weights are computed for a new sample. Rounds
	// continue with later samples.
	fitRounds = 4
	// descentRounds bounds the iterations that solve for the coefficients.
	descentRounds = 60
)

// terms returns the factors of the coefficients for a number of tokens.
func terms(tokens float64) coefficients {
	return coefficients{1, tokens / 1e3, tokens * tokens / 2 / 1e6}
}

// predict returns the time to the first event in milliseconds.
func (c coefficients) predict(tokens float64) float64 {
	x := terms(tokens)
	return c[0]*x[0] + c[1]*x[1] + c[2]*x[2]
}

// fit returns the coefficients for samples, beginning with its own. It is a least squares fit of
// the relative errors, in which outliers weigh less, with the prior as a ridge.
func (c coefficients) fit(samples [][]prefillSample) coefficients {
	for range fitRounds {
		normal, target := prior()
		for _, class := range samples {
			for _, s := range class {
				c.accumulate(s, &normal, &target)
			}
		}
		c = c.descend(&normal, &target)
	}
	return c
}

// prior returns the normal equations of the prior.
func prior() (normal [3]coefficients, target coefficients) {
	for i, deviation := range priorDeviations {
		normal[i][i] = 1 / (deviation * deviation)
		target[i] = normal[i][i] * priorCoefficients[i]
	}
	return normal, target
}

// accumulate adds a sample to the normal equations.
func (c coefficients) accumulate(s prefillSample, normal *[3]coefficients, target *coefficients) {
	predicted := c.predict(s.tokens)
	outlier := math.Abs(s.milliseconds-predicted) / predicted / outlierError
	deviation := sampleNoise * predicted
	weight := s.weight / (1 + outlier) / (deviation * deviation)
	x := terms(s.tokens)
	for i := range x {
		for j := range x {
			normal[i][j] += weight * x[i] * x[j]
		}
		target[i] += weight * x[i] * s.milliseconds
	}
}

// descend solves the normal equations within the bounds by coordinate descent.
func (c coefficients) descend(normal *[3]coefficients, target *coefficients) coefficients {
	for range descentRounds {
		for i := range c {
			rest := target[i]
			for j := range c {
				if j != i {
					rest -= normal[i][j] * c[j]
				}
			}
			c[i] = min(maxCoefficients[i], max(minCoefficients[i], rest/normal[i][i]))
		}
	}
	return c
}
