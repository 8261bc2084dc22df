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

// Slope is how a cost grows with a driver, as a polynomial fitted to runs.
type Slope struct {
	Driver         string    `json:"driver"`
	Cost           string    `json:"cost"`
	Coefficients   []float64 `json:"terms"`  // the constant first
	RSquared       float64   `json:"fit"`    // R² over the runs that it was fitted to
	RelativeSpread float64   `json:"spread"` // the largest standard deviation of the runs at one value, as a part of their mean
	// HeldOut is the value that was left out of the fit, for a comparison of Predicted and Measured; 0 for none.
	HeldOut   float64 `json:"out"`
	Predicted float64 `json:"predicted"`
	Measured  float64 `json:"measured"` // the mean of its runs
}

// Predict is the cost that the slope predicts at a value of its driver.
func (s Slope) Predict(value float64) float64 {
	sum, power := 0.0, 1.0
	for _, term := range s.Coefficients {
		sum += term * power
		power *= value
	}
	return sum
}

// RelativeError is how far the prediction was from what was measured at the held-out value, as a part of that.
func (s Slope) RelativeError() float64 {
	if s.Measured == 0 {
		return 0
	}
	return (s.Predicted - s.Measured) / s.Measured
}

// Formula writes the polynomial.
func (s Slope) Formula() string {
	var parts []string
	for i, term := range s.Coefficients {
		name := map[int]string{0: "", 1: " x", 2: " x²"}[i]
		parts = append(parts, fmt.Sprintf("%.3g%s", term, name))
	}
	return strings.ReplaceAll(strings.Join(parts, " + "), "+ -", "- ")
}

// maxDegree bounds the polynomial: costs come from loops over members, or over pairs of them.
const maxDegree = 2

// minCurveImprovement is the factor by which a curve's error must be below a line's for the curve to be taken.
const minCurveImprovement = 0.7

// fitSlope fits a line or, where that predicts left-out values clearly better, a curve. The largest value is held
// out of the fit, because slopes are used to predict beyond what was measured.
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
	// R² has no value where all runs cost the same; the fit is exact then.
	if slope.RSquared = stat.RSquaredFrom(predicted, y, nil); math.IsNaN(slope.RSquared) || math.IsInf(slope.RSquared, 0) {
		slope.RSquared = 1
	}
	slope.Predicted = slope.Predict(slope.HeldOut)
	return slope
}

// withoutValue lists the runs at all other values.
func withoutValue(runs []costSample, value float64) []costSample {
	return slices.DeleteFunc(slices.Clone(runs), func(sample costSample) bool { return sample.driverValue == value })
}

// columns lists the runs' values and costs.
func columns(runs []costSample) (x, y []float64) {
	for _, sample := range runs {
		x = append(x, sample.driverValue)
		y = append(y, sample.cost)
	}
	return x, y
}

// fitPolynomial fits a polynomial by least squares; the constant is the first coefficient.
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
	// Powers of large values differ by many orders of magnitude, so values are scaled to the largest.
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
