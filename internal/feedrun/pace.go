package feedrun

import (
	"sync"
	"time"

	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/policy/rollout"
)

const (
	// paceWeight is how much one stream counts in the mean of the pace.
	paceWeight = 0.05
	// paceShare is the part of a token's time that is taken to come from the
	// batch; streams do not tell the two apart.
	paceShare = 0.02
	// charsPerToken is what is assumed of the text of prompts.
	charsPerToken = 4
)

// paceMeter estimates the engines' pace from streams. It is safe for
// concurrent use.
type paceMeter struct {
	mu    sync.Mutex
	token time.Duration // mean time of one token; 0: none seen
}

func (p *paceMeter) observe(took time.Duration, tokens int) {
	if tokens < 2 || took <= 0 {
		return
	}
	token := took / time.Duration(tokens)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.token == 0 {
		p.token = token
		return
	}
	p.token += time.Duration(paceWeight * float64(token-p.token))
}

func (p *paceMeter) estimate() rollout.Pace {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.token == 0 {
		return assumedPace
	}
	return rollout.Pace{Base: p.token, PerSample: time.Duration(paceShare * float64(p.token))}
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

// promptTokens estimates the tokens of a usual prompt.
func promptTokens(feed decl.Feed) int {
	chars := 0
	for _, p := range feed.Prompts {
		chars += len(p)
	}
	return chars / (charsPerToken * max(1, len(feed.Prompts)))
}
