package release

import "math"

// binomialCDF is the probability that at most outcomes.bad of outcomes.total calls end badly if each
// does so independently at the given rate: the sum over k of C(n,k) * p^k * (1-p)^(n-k) for k from 0 to
// bad, both numbers rounded. It is 1 without calls or without a rate.
//
// Each term follows from the one before by C(n,k+1)/C(n,k) = (n-k)/(k+1), in logarithms so that (1-p)^n
// does not underflow. A rate above maxBadRate counts as maxBadRate, which keeps 1-p above 0.
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
