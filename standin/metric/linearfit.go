package metric

// Point is one measurement: y was measured at x.
type Point struct {
	X float64
	Y float64
}

// LinearFit returns the slope and the value at zero of the line through points by
// least squares. Points of a single x give a slope of 0.
func LinearFit(points []Point) (slope, intercept float64) {
	if len(points) == 0 {
		return 0, 0
	}
	var sumX, sumY float64
	for _, p := range points {
		sumX += p.X
		sumY += p.Y
	}
	n := float64(len(points))
	meanX, meanY := sumX/n, sumY/n
	var above, below float64
	for _, p := range points {
		above += (p.X - meanX) * (p.Y - meanY)
		below += (p.X - meanX) * (p.X - meanX)
	}
	if below == 0 {
		return 0, meanY
	}
	slope = above / below
	return slope, meanY - slope*meanX
}
