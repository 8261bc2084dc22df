package rehearsal

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat"
)

// measured is one cost at one value of a driver, in one run.
type measured struct {
	value, cost float64
}

// Slope is how a cost grows with a driver: the terms of a polynomial, the constant first.
type Slope struct {
	Driver string    `json:"driver"`
	Cost   string    `json:"cost"`
	Terms  []float64 `json:"terms"`
	Fit    float64   `json:"fit"`    // R², of the runs that it was fitted to
	Spread float64   `json:"spread"` // of runs at one value: deviation as a part of the mean, the largest
	// Out is the value that was left out of the fit, to hold the slope against it.
	Out       float64 `json:"out"`
	Predicted float64 `json:"predicted"`
	Measured  float64 `json:"measured"` // the mean of its runs
}

// At is the cost that a slope foretells.
func (s Slope) At(value float64) float64 {
	sum, power := 0.0, 1.0
	for _, term := range s.Terms {
		sum, power = sum+term*power, power*value
	}
	return sum
}

// Off is how far the slope was from what was left out of it, as a part of that.
func (s Slope) Off() float64 {
	if s.Measured == 0 {
		return 0
	}
	return (s.Predicted - s.Measured) / s.Measured
}

// Text is the slope as a formula.
func (s Slope) Text() string {
	var parts []string
	for i, term := range s.Terms {
		name := map[int]string{0: "", 1: " x", 2: " x²"}[i]
		parts = append(parts, fmt.Sprintf("%.3g%s", term, name))
	}
	return strings.ReplaceAll(strings.Join(parts, " + "), "+ -", "- ")
}

// degreeMost bounds a slope's terms: costs here come from loops over members, or over pairs of them.
const degreeMost = 2

// curveGain is how much nearer a curve must come than a line to be taken for what is there.
const curveGain = 0.7

// fitSlope fits a line or, where that foretells left-out values clearly better, a curve. The
// largest value is left out, for the slope is used to look beyond what was measured.
func fitSlope(driver, cost string, runs []measured) Slope {
	byValue := map[float64][]float64{}
	for _, one := range runs {
		byValue[one.value] = append(byValue[one.value], one.cost)
	}
	values := make([]float64, 0, len(byValue))
	made := Slope{Driver: driver, Cost: cost}
	for value, costs := range byValue {
		values = append(values, value)
		if mean, deviation := stat.MeanStdDev(costs, nil); len(costs) > 1 && mean != 0 {
			made.Spread = max(made.Spread, deviation/math.Abs(mean))
		}
	}
	sort.Float64s(values)
	kept := runs
	if len(values) > degreeMost {
		made.Out = values[len(values)-1]
		made.Measured = stat.Mean(byValue[made.Out], nil)
		kept = without(runs, made.Out)
		values = values[:len(values)-1]
	}
	degree, nearest := 1, math.Inf(1)
	for try := 1; try <= degreeMost && len(values) > try+1; try++ {
		missed := 0.0
		for _, value := range values {
			terms := polynomial(without(kept, value), try)
			missed += math.Pow(Slope{Terms: terms}.At(value)-stat.Mean(byValue[value], nil), 2)
		}
		if missed < nearest*curveGain {
			degree, nearest = try, missed
		}
	}
	made.Terms = polynomial(kept, min(degree, len(values)-1))
	x, y := columns(kept)
	foretold := make([]float64, len(x))
	for i := range x {
		foretold[i] = made.At(x[i])
	}
	// Runs that all cost the same leave nothing to tell apart.
	if made.Fit = stat.RSquaredFrom(foretold, y, nil); math.IsNaN(made.Fit) || math.IsInf(made.Fit, 0) {
		made.Fit = 1
	}
	made.Predicted = made.At(made.Out)
	return made
}

func without(runs []measured, value float64) []measured {
	return slices.DeleteFunc(slices.Clone(runs), func(one measured) bool { return one.value == value })
}

func columns(runs []measured) (x, y []float64) {
	for _, one := range runs {
		x, y = append(x, one.value), append(y, one.cost)
	}
	return x, y
}

// polynomial fits by least squares.
func polynomial(runs []measured, degree int) []float64 {
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
	var solved mat.VecDense
	if solved.SolveVec(powers, mat.NewVecDense(len(y), y)) != nil {
		return polynomial(runs, degree-1)
	}
	terms := make([]float64, degree+1)
	for j := range terms {
		terms[j] = solved.AtVec(j) / math.Pow(scale, float64(j))
	}
	return terms
}
