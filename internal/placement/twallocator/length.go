package twallocator

import "math"

const (
	// lengthLogDeviation is the standard deviation of the logarithm of an answer's length around the caller's hint.
	// Hints are right in the median; the workload descriptions state this spread.
	lengthLogDeviation = 0.5
	// defaultLengthShare is the expected share of the length limit when the caller gives no hint.
	defaultLengthShare = 0.5
)

// expectedLength returns the length in tokens that an answer does not exceed with the probability quantile, given that
// it has generated tokens already. The result never exceeds the limit; a limit of 0 sets none.
func expectedLength(hint, limit int, generated, quantile float64) float64 {
	bound := math.Inf(1)
	if limit > 0 {
		bound = float64(limit)
	}
	median := float64(hint)
	if hint <= 0 {
		median = defaultLengthShare * float64(limit)
	}
	if median <= 0 {
		return generated
	}
	reached := 0.0
	if generated > 0 {
		reached = normalCDF(math.Log(generated/median) / lengthLogDeviation)
	}
	if reached > 0.995 {
		return math.Min(bound, generated*1.1)
	}
	share := reached + quantile*(1-reached)
	length := median * math.Exp(lengthLogDeviation*math.Sqrt2*math.Erfinv(2*share-1))
	return math.Min(bound, math.Max(length, generated))
}

// meanLength returns the expected mean length of many answers with this hint, in tokens. Hints are right in the median
// of the calls, and the spread of the hints makes up for that of the answers.
func meanLength(hint, limit int) float64 {
	switch {
	case hint <= 0:
		return defaultLengthShare * float64(limit)
	case limit > 0:
		return float64(min(hint, limit))
	}
	return float64(hint)
}

// normalCDF is the cumulative distribution function of the standard normal distribution.
func normalCDF(x float64) float64 { return 0.5 * math.Erfc(-x/math.Sqrt2) }
