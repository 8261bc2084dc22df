package testbed

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat"
)

// costSample is one cost at one value of a driver, in one run.
type costSample struct {
	driverValue, cost float64
}

// Slope is how a cost grows with a driver: the terms of a polynomial, the constant first.
type Slope struct {
	Driver         string    `json:"driver"`
	Cost           string    `json:"cost"`
	Coefficients   []float64 `json:"terms"`
	RSquared       float64   `json:"fit"`    // R², of the runs that it was fitted to
	RelativeSpread float64   `json:"spread"` // of runs at one value: deviation as a part of the mean, the largest
	// HeldOut is the value that was left out of the fit, to hold the slope against it.
	HeldOut   float64 `json:"out"`
	Predicted float64 `json:"predicted"`
	Measured  float64 `json:"measured"` // the mean of its runs
}

// Predict is the cost that a slope foretells.
func (s Slope) Predict(value float64) float64 {
	sum, power := 0.0, 1.0
	for _, term := range s.Coefficients {
		sum, power = sum+term*power, power*value
	}
	return sum
}

// RelativeError is how far the slope was from what was left out of it, as a part of that.
func (s Slope) RelativeError() float64 {
	if s.Measured == 0 {
		return 0
	}
	return (s.Predicted - s.Measured) / s.Measured
}

// Formula is the slope as a formula.
func (s Slope) Formula() string {
	var parts []string
	for i, term := range s.Coefficients {
		name := map[int]string{0: "", 1: " x", 2: " x²"}[i]
		parts = append(parts, fmt.Sprintf("%.3g%s", term, name))
	}
	return strings.ReplaceAll(strings.Join(parts, " + "), "+ -", "- ")
}

// maxDegree bounds a slope's terms: costs here come from loops over members, or over pairs of them.
const maxDegree = 2

// minCurveImprovement is how much nearer a curve must come than a line to be taken for what is there.
const minCurveImprovement = 0.7

// fitSlope fits a line or, where that foretells left-out values clearly better, a curve. The
// largest value is left out, for the slope is used to look beyond what was measured.
func fitSlope(driver, cost string, runs []costSample) Slope {
	byValue := map[float64][]float64{}
	for _, sample := range runs {
		byValue[sample.driverValue] = append(byValue[sample.driverValue], sample.cost)
	}
	values := make([]float64, 0, len(byValue))
	slope := Slope{Driver: driver, Cost: cost}
	for value, costs := range byValue {
		values = append(values, value)
		if mean, deviation := stat.MeanStdDev(costs, nil); len(costs) > 1 && mean != 0 {
			slope.RelativeSpread = max(slope.RelativeSpread, deviation/math.Abs(mean))
		}
	}
	sort.Float64s(values)
	fitted := runs
	if len(values) > maxDegree {
		slope.HeldOut = values[len(values)-1]
		slope.Measured = stat.Mean(byValue[slope.HeldOut], nil)
		fitted = withoutValue(runs, slope.HeldOut)
		values = values[:len(values)-1]
	}
	degree, smallestError := 1, math.Inf(1)
	for candidate := 1; candidate <= maxDegree && len(values) > candidate+1; candidate++ {
		squaredError := 0.0
		for _, value := range values {
			terms := fitPolynomial(withoutValue(fitted, value), candidate)
			squaredError += math.Pow(Slope{Coefficients: terms}.Predict(value)-stat.Mean(byValue[value], nil), 2)
		}
		if squaredError < smallestError*minCurveImprovement {
			degree, smallestError = candidate, squaredError
		}
	}
	slope.Coefficients = fitPolynomial(fitted, min(degree, len(values)-1))
	x, y := columns(fitted)
	predicted := make([]float64, len(x))
	for i := range x {
		predicted[i] = slope.Predict(x[i])
	}
	// Runs that all cost the same leave nothing to tell apart.
	if slope.RSquared = stat.RSquaredFrom(predicted, y, nil); math.IsNaN(slope.RSquared) || math.IsInf(slope.RSquared, 0) {
		slope.RSquared = 1
	}
	slope.Predicted = slope.Predict(slope.HeldOut)
	return slope
}

func withoutValue(runs []costSample, value float64) []costSample {
	return slices.DeleteFunc(slices.Clone(runs), func(sample costSample) bool { return sample.driverValue == value })
}

func columns(runs []costSample) (x, y []float64) {
	for _, sample := range runs {
		x, y = append(x, sample.driverValue), append(y, sample.cost)
	}
	return x, y
}

// fitPolynomial fits by least squares.
func fitPolynomial(runs []costSample, degree int) []float64 {
	x, y := columns(runs)
	switch {
	case len(x) == 0:
		return []float64{0}
	case degree <= 0:
		return []float64{stat.Mean(y, nil)}
	case degree == 1:
		constant, slope := stat.LinearRegression(x, y, nil, false)
		return []float64{constant, slope}
	}
	// Powers of large values differ by many orders, so they are fitted as parts of the largest.
	scale := slices.Max(x)
	powers := mat.NewDense(len(x), degree+1, nil)
	for i, value := range x {
		for j := range degree + 1 {
			powers.Set(i, j, math.Pow(value/scale, float64(j)))
		}
	}
	var solution mat.VecDense
	if solution.SolveVec(powers, mat.NewVecDense(len(y), y)) != nil {
		return fitPolynomial(runs, degree-1)
	}
	terms := make([]float64, degree+1)
	for j := range terms {
		terms[j] = solution.AtVec(j) / math.Pow(scale, float64(j))
	}
	return terms
}
