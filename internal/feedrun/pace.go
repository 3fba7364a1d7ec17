package feedrun

import (
	"sync"
	"time"

	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/policy/rollout"
)

const (
	// paceSmoothing is the weight of one stream in the exponential moving
	// average of the pace.
	paceSmoothing = 0.05
	// perSampleShare is the assumed share of a token's time that each sample of
	// the batch adds. Streams don't show the two parts separately.
	perSampleShare = 0.02
	// charsPerToken is the assumed number of characters per token of prompts.
	charsPerToken = 4
)

// paceEstimator estimates the engines' pace from streams. It is safe for
// concurrent use.
type paceEstimator struct {
	mu    sync.Mutex
	token time.Duration // mean time of one token; 0: not measured yet
}

func (p *paceEstimator) observe(duration time.Duration, tokens int) {
	if tokens < 2 || duration <= 0 {
		return
	}
	token := duration / time.Duration(tokens)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.token == 0 {
		p.token = token
		return
	}
	p.token += time.Duration(paceSmoothing * float64(token-p.token))
}

func (p *paceEstimator) estimate() rollout.Pace {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.token == 0 {
		return defaultPace
	}
	return rollout.Pace{Base: p.token, PerSample: time.Duration(perSampleShare * float64(p.token))}
}

func schedulerFeed(feed decl.Feed) rollout.Feed {
	share := feed.Share
	if share <= 0 {
		share = 1
	}
	return rollout.Feed{
		Name:            feed.Name,
		Shape:           shapeOf(feed),
		Classes:         len(feed.Prompts),
		Share:           share,
		WeightIdle:      feed.WeightIdle,
		WeightStaleness: feed.WeightStaleness,
		Limits:          limitsOf(feed),
		MaxTokens:       maxTokens(feed),
		PromptTokens:    promptTokens(feed),
	}
}

// promptTokens estimates the mean number of tokens of a feed's prompts.
func promptTokens(feed decl.Feed) int {
	chars := 0
	for _, p := range feed.Prompts {
		chars += len(p)
	}
	return chars / (charsPerToken * max(1, len(feed.Prompts)))
}
