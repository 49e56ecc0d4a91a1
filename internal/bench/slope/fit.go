package slope

import "math"

// Point is one measurement: the value Y of a quantity at the size X.
type Point struct {
	X float64
	Y float64
}

// Fit is a straight line fitted to points by least squares.
type Fit struct {
	// Base is the value at size 0. Slope is the increase per unit of size.
	Base  float64
	Slope float64
	// SlopeError is the standard error of the slope; 0 with two or fewer points.
	SlopeError float64
	Points     int
}

// At returns the value of the line at size x.
func (f Fit) At(x float64) float64 {
	return f.Base + f.Slope*x
}

// fit fits a line to points by least squares.
func fit(points []Point) Fit {
	n := float64(len(points))
	result := Fit{Points: len(points)}
	if len(points) == 0 {
		return result
	}
	var sumX, sumY float64
	for _, p := range points {
		sumX += p.X
		sumY += p.Y
	}
	meanX, meanY := sumX/n, sumY/n
	var spreadX, covariance float64
	for _, p := range points {
		spreadX += (p.X - meanX) * (p.X - meanX)
		covariance += (p.X - meanX) * (p.Y - meanY)
	}
	if spreadX == 0 {
		result.Base = meanY
		return result
	}
	result.Slope = covariance / spreadX
	result.Base = meanY - result.Slope*meanX
	if len(points) > 2 {
		var residual float64
		for _, p := range points {
			difference := p.Y - result.At(p.X)
			residual += difference * difference
		}
		result.SlopeError = math.Sqrt(residual / (n - 2) / spreadX)
	}
	return result
}
