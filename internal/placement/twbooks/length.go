package twbooks

import "math"

const (
	// lengthSpread is the standard deviation of the logarithm of an answer's length around the caller's hint.
	// Hints are right in the median; the workloads' sheets give their lengths a spread of 0.5.
	lengthSpread = 0.5
	// defaultShare is the part of the answer's bound that is expected when the caller gives no hint.
	defaultShare = 0.5
)

// expectedLength is the length that an answer stays under with the probability quantile, given that it has made
// tokens already. It never exceeds the answer's bound.
func expectedLength(hint, most int, made, quantile float64) float64 {
	bound := math.Inf(1)
	if most > 0 {
		bound = float64(most)
	}
	median := float64(hint)
	if hint <= 0 {
		median = defaultShare * float64(most)
	}
	if median <= 0 {
		return made
	}
	passed := 0.0
	if made > 0 {
		passed = normal(math.Log(made/median) / lengthSpread)
	}
	if passed > 0.995 {
		return math.Min(bound, made*1.1)
	}
	share := passed + quantile*(1-passed)
	length := median * math.Exp(lengthSpread*math.Sqrt2*math.Erfinv(2*share-1))
	return math.Min(bound, math.Max(length, made))
}

// meanLength is the length that answers have in the mean of many calls: hints are right in the median of the calls, and
// their own spread makes up for that of the answers.
func meanLength(hint, most int) float64 {
	switch {
	case hint <= 0:
		return defaultShare * float64(most)
	case most > 0:
		return float64(min(hint, most))
	}
	return float64(hint)
}

// normal is the standard normal distribution.
func normal(x float64) float64 { return 0.5 * math.Erfc(-x/math.Sqrt2) }
