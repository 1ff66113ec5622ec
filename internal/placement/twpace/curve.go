package twpace

import "math"

const (
	// runScale and memoryScale make the two loads of the size of 1, so that one ridge serves both.
	runScale, memoryScale = 16, 65536
	// curveDecay is the factor by which the weight of earlier measurements decreases with each new one; about 200 count.
	curveDecay = 0.995
	// ridge is the weight of the assumption that the load doesn't matter, in measurements at full load.
	ridge = 0.5
	// robustCount is how many measurements there must be before slower ones count less.
	robustCount = 8
	// minShare and maxShare bound what the curve says to multiples of the mean, where few measurements lie.
	minShare, maxShare = 0.5, 2
)

// curve is the common time for a token as a linear function of an engine's runs and memory, in milliseconds. Of engines
// that are three times as slow a measurement counts a ninth, so that a third of them raises it by a tenth.
type curve struct {
	count int
	// products and targets are the weighted sums of the normal equations.
	products [3][3]float64
	targets  [3]float64
	// factors are the solution, mean is the weighted mean of the measurements.
	factors [3]float64
	mean    float64
}

// add adds a measurement.
func (c *curve) add(runs, memoryTokens, millis float64) {
	expected := millis
	if c.count >= robustCount {
		expected = c.at(runs, memoryTokens)
	}
	c.addExpected(runs, memoryTokens, millis, expected)
}

// addExpected adds a measurement of which so much was expected; one that took longer counts less.
func (c *curve) addExpected(runs, memoryTokens, millis, expected float64) {
	if millis <= 0 {
		return
	}
	weight := math.Pow(math.Min(1, expected/millis), 2)
	x := [3]float64{1, runs / runScale, memoryTokens / memoryScale}
	for i := range x {
		for j := range x {
			c.products[i][j] = curveDecay*c.products[i][j] + weight*x[i]*x[j]
		}
		c.targets[i] = curveDecay*c.targets[i] + weight*x[i]*millis
	}
	c.count++
	c.mean = c.targets[0] / c.products[0][0]
	c.solve()
}

// at returns the common time for a token at a load; 0 without measurements.
func (c *curve) at(runs, memoryTokens float64) float64 {
	value := c.factors[0] + c.factors[1]*runs/runScale + c.factors[2]*memoryTokens/memoryScale
	return math.Min(math.Max(value, minShare*c.mean), maxShare*c.mean)
}

// solve solves the normal equations. More load makes no engine faster, so that a load with a negative factor is left out.
func (c *curve) solve() {
	used := [3]bool{true, true, true}
	for {
		c.factors = c.solveFor(used)
		lowest := 0
		for i := 1; i < 3; i++ {
			if c.factors[i] < 0 && (lowest == 0 || c.factors[i] < c.factors[lowest]) {
				lowest = i
			}
		}
		if lowest == 0 {
			return
		}
		used[lowest] = false
	}
}

// solveFor solves the equations for the used factors; the others are 0. The ridge applies to the loads' distances from
// their means, so that it doesn't pull the whole curve down.
func (c *curve) solveFor(used [3]bool) [3]float64 {
	var factors [3]float64
	weight := c.products[0][0]
	mean1, mean2 := c.products[0][1]/weight, c.products[0][2]/weight
	v11 := c.products[1][1] - weight*mean1*mean1 + ridge
	v22 := c.products[2][2] - weight*mean2*mean2 + ridge
	v12 := c.products[1][2] - weight*mean1*mean2
	t1 := c.targets[1] - mean1*c.targets[0]
	t2 := c.targets[2] - mean2*c.targets[0]
	switch {
	case used[1] && used[2]:
		determinant := v11*v22 - v12*v12
		factors[1], factors[2] = (t1*v22-t2*v12)/determinant, (t2*v11-t1*v12)/determinant
	case used[1]:
		factors[1] = t1 / v11
	case used[2]:
		factors[2] = t2 / v22
	}
	factors[0] = c.mean - factors[1]*mean1 - factors[2]*mean2
	return factors
}
