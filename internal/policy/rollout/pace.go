package rollout

import "time"

// Pace is the generation speed of an engine. Generating one token for every sample of a
// batch takes Base plus PerSample for each sample in the batch.
type Pace struct {
	Base      time.Duration
	PerSample time.Duration
}

// TokenTime returns the time per token in a batch of n samples.
func (p Pace) TokenTime(n int) time.Duration {
	return p.Base + time.Duration(n)*p.PerSample
}

// Rate returns the tokens per second that a batch of n samples generates in total.
func (p Pace) Rate(n int) float64 {
	if n <= 0 {
		return 0
	}
	return float64(n) / p.TokenTime(n).Seconds()
}

// MoveCost is the time that a running sample loses when it moves to another engine: a
// fixed part for the exchange of messages, and a part per token of KV cache.
type MoveCost struct {
	Fixed    time.Duration
	PerToken time.Duration
}

// Total returns the cost of moving a sample with the given number of tokens.
func (m MoveCost) Total(tokens int) time.Duration {
	return m.Fixed + time.Duration(tokens)*m.PerToken
}
