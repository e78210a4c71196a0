package metric

// Point is one measurement: the value Y at X.
type Point struct {
	X float64
	Y float64
}

// LinearFit fits a line to points by least squares and returns its slope and
// intercept. Points that all have the same X give a slope of 0 and the mean of Y.
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
	var covariance, variance float64 // each times n
	for _, p := range points {
		covariance += (p.X - meanX) * (p.Y - meanY)
		variance += (p.X - meanX) * (p.X - meanX)
	}
	if variance == 0 {
		return 0, meanY
	}
	slope = covariance / variance
	return slope, meanY - slope*meanX
}
