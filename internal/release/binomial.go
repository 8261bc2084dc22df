package release

import "math"

// binomialCDF returns the probability that at most outcomes.bad of outcomes.total calls are bad if each is bad
// independently with the given probability. It is the sum of C(n,k) * p^k * (1-p)^(n-k) for k from 0 to bad,
// with both counts rounded. It is 1 without calls or with a rate of 0.
//
// Each term is computed from the one before by C(n,k+1)/C(n,k) = (n-k)/(k+1), in logarithms so that (1-p)^n
// does not underflow. A rate above maxBadRate is taken as maxBadRate, which keeps 1-p above 0.
func binomialCDF(outcomes outcomeCounts, rate float64) float64 {
	if rate <= 0 || outcomes.total < 1 {
		return 1
	}
	rate = min(rate, maxBadRate)
	calls, probability := math.Round(outcomes.total), 0.0
	logTerm := calls * math.Log(1-rate)
	for count := 0.0; count <= math.Round(outcomes.bad); count++ {
		probability += math.Exp(logTerm)
		logTerm += math.Log((calls-count)/(count+1)) + math.Log(rate/(1-rate))
	}
	return probability
}
