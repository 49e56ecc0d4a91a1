package slope

import (
	"math"
	"testing"
)

func TestFit(t *testing.T) {
	tests := []struct {
		name   string
		points []Point
		want   Fit
	}{
		{"none", nil, Fit{}},
		{"one", []Point{{X: 3, Y: 5}}, Fit{Base: 5, Points: 1}},
		{"line", []Point{{X: 0, Y: 1}, {X: 1, Y: 3}, {X: 2, Y: 5}}, Fit{Base: 1, Slope: 2, Points: 3}},
		{"spread", []Point{{X: 0, Y: 0}, {X: 1, Y: 2}, {X: 2, Y: 1}}, Fit{Base: 0.5, Slope: 0.5, SlopeError: math.Sqrt(0.75), Points: 3}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := fit(tt.points)
			near := func(a, b float64) bool { return math.Abs(a-b) < 1e-9 }
			if !near(got.Base, tt.want.Base) || !near(got.Slope, tt.want.Slope) || !near(got.SlopeError, tt.want.SlopeError) || got.Points != tt.want.Points {
				t.Errorf("got %+v, want %+v", got, tt.want)
			}
		})
	}
}
