package rollout

import "time"

// Pace is how fast an engine generates: one token of every sample in its batch
// takes Base plus Each for every sample.
type Pace struct {
	Base      time.Duration
	PerSample time.Duration
}

// TokenTime returns the time of one token in a batch of n.
func (p Pace) TokenTime(n int) time.Duration {
	return p.Base + time.Duration(n)*p.PerSample
}

// Rate returns the tokens a second of a batch of n.
func (p Pace) Rate(n int) float64 {
	if n <= 0 {
		return 0
	}
	return float64(n) / p.TokenTime(n).Seconds()
}

// MoveCost is the time that moving a running sample takes it: a part for the
// exchange of orders and one for each token of KV cache.
type MoveCost struct {
	Fixed    time.Duration
	PerToken time.Duration
}

// Total returns the cost of moving a sample with tokens tokens.
func (m MoveCost) Total(tokens int) time.Duration {
	return m.Fixed + time.Duration(tokens)*m.PerToken
}
