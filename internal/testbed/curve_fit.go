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

// costSample is the cost that one run measured at one value of a driver.
type costSample struct {
	driverValue, cost float64
}

// Slope is the growth of a cost with a driver, as a polynomial that was fitted to the costs of runs.
type Slope struct {
	Driver       string    `json:"driver"` // name of the driver, the independent variable
	Cost         string    `json:"cost"`   // name of the cost, with its unit
	Coefficients []float64 `json:"terms"`  // coefficients of the polynomial, the constant first
	RSquared     float64   `json:"fit"`    // coefficient of determination R² over the fitted runs
	// RelativeSpread is the largest relative spread at any value: the standard deviation of the costs of the runs at that
	// value, as a fraction of their mean.
	RelativeSpread float64 `json:"spread"`
	// HeldOut is the driver's value whose runs were left out of the fit, to compare Predicted with Measured; 0 if no value
	// was left out.
	HeldOut   float64 `json:"out"`
	Predicted float64 `json:"predicted"` // cost that the polynomial predicts at HeldOut
	Measured  float64 `json:"measured"`  // mean cost of the runs at HeldOut; 0 if no value was left out
}

// Predict returns the cost that the polynomial predicts at a value of the driver.
func (s Slope) Predict(value float64) float64 {
	sum, power := 0.0, 1.0
	for _, coefficient := range s.Coefficients {
		sum += coefficient * power
		power *= value
	}
	return sum
}

// RelativeError returns the difference between Predicted and Measured, as a fraction of Measured; 0 if that is 0.
func (s Slope) RelativeError() float64 {
	if s.Measured == 0 {
		return 0
	}
	return (s.Predicted - s.Measured) / s.Measured
}

// Formula returns the polynomial as text, such as "5 + 3 x".
func (s Slope) Formula() string {
	var parts []string
	for i, coefficient := range s.Coefficients {
		power := map[int]string{0: "", 1: " x", 2: " x²"}[i]
		parts = append(parts, fmt.Sprintf("%.3g%s", coefficient, power))
	}
	return strings.ReplaceAll(strings.Join(parts, " + "), "+ -", "- ")
}

// maxDegree is the largest degree of a fitted polynomial. Costs come from loops over members, or over pairs of members.
const maxDegree = 2

// maxErrorRatio bounds the squared error of a parabola, as a fraction of the squared error of a line. The parabola is
// chosen only if its squared error is below this bound.
const maxErrorRatio = 0.7

// fitSlope fits a polynomial to runs by least squares. It chooses the degree by leave-one-out cross-validation over the
// driver's values: a higher degree is chosen only if its squared error is less than maxErrorRatio times that of the
// lower degree. The largest value is held out of the fit and of the choice, because slopes are used to predict beyond
// the measured range. If there are no more than maxDegree values, none is held out.
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
			coefficients := fitPolynomial(withoutValue(fitted, value), candidate)
			squaredError += math.Pow(Slope{Coefficients: coefficients}.Predict(value)-stat.Mean(byValue[value], nil), 2)
		}
		if squaredError < smallestError*maxErrorRatio {
			degree, smallestError = candidate, squaredError
		}
	}
	slope.Coefficients = fitPolynomial(fitted, min(degree, len(values)-1))
	x, y := columns(fitted)
	predicted := make([]float64, len(x))
	for i := range x {
		predicted[i] = slope.Predict(x[i])
	}
	// R² is undefined if all runs have the same cost. The fit is exact in that case.
	if slope.RSquared = stat.RSquaredFrom(predicted, y, nil); math.IsNaN(slope.RSquared) || math.IsInf(slope.RSquared, 0) {
		slope.RSquared = 1
	}
	slope.Predicted = slope.Predict(slope.HeldOut)
	return slope
}

// withoutValue returns the runs at all values but the given one.
func withoutValue(runs []costSample, value float64) []costSample {
	return slices.DeleteFunc(slices.Clone(runs), func(sample costSample) bool { return sample.driverValue == value })
}

// columns returns the driver's values and the costs of runs as separate slices.
func columns(runs []costSample) (x, y []float64) {
	for _, sample := range runs {
		x = append(x, sample.driverValue)
		y = append(y, sample.cost)
	}
	return x, y
}

// fitPolynomial fits a polynomial by least squares and returns its coefficients, the constant first. If the runs do not
// determine a polynomial of this degree, it fits one of a lower degree.
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
	// The powers of large values differ by many orders of magnitude, which would make the solution inaccurate. Values are
	// therefore scaled to at most 1.
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
	coefficients := make([]float64, degree+1)
	for j := range coefficients {
		coefficients[j] = solution.AtVec(j) / math.Pow(scale, float64(j))
	}
	return coefficients
}
