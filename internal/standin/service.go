package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
)

// ServiceOptions configures a plain service.
type ServiceOptions struct {
	Name       string
	Latency    time.Duration
	Scorer     bool   // answer {"score": x}
	PoisonText string // a body that contains it crashes the service; empty for none
	OnCrash    func()
	EffectLog  io.Writer // gets a line for each effect, for counts that survive a kill of the process; may be nil
}

// ServiceStats holds the number of effects by business operation, which is the
// field "operation" of the body or else the Idempotency-Key header.
type ServiceStats struct {
	Effects map[string]int `json:"effects"`
}

type echo struct {
	Service   string `json:"service"`
	Path      string `json:"path"`
	Operation string `json:"operation"`
	BodyHash  string `json:"body_hash"`
}

type score struct {
	Score float64 `json:"score"`
}

// Service is a plain service such as a ledger. Every call except GET has an effect
// each time it runs. It is safe for concurrent use.
type Service struct {
	options ServiceOptions
	server  *fasthttp.Server

	mu       sync.Mutex
	listener *listener
	effects  map[string]int
}

// NewService returns a service that doesn't listen yet.
func NewService(o ServiceOptions) *Service {
	s := &Service{options: o, effects: map[string]int{}}
	s.server = &fasthttp.Server{Handler: s.handle}
	return s
}

// Start listens on address and returns the bound address. A crashed service can be
// started again and keeps its counts.
func (s *Service) Start(address string) (string, error) {
	l, err := listen(address)
	if err != nil {
		return "", err
	}
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	go func() { _ = s.server.Serve(l) }()
	return l.Addr().String(), nil
}

// Crash closes every connection.
func (s *Service) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener.closeAll()
}

// BlackholeConnections discards all further writes to the open connections.
func (s *Service) BlackholeConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener.blackhole()
}

// Stats returns the counts of the service.
func (s *Service) Stats() ServiceStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ServiceStats{Effects: maps.Clone(s.effects)}
}

func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case PathStats:
		reply(ctx, fasthttp.StatusOK, s.Stats())
		return
	case "/health":
		return
	}
	body := string(ctx.PostBody())
	operation := operationOf(ctx)
	if !ctx.IsGet() {
		s.mu.Lock()
		s.effects[operation]++
		if s.options.EffectLog != nil {
			fmt.Fprintln(s.options.EffectLog, operation)
		}
		s.mu.Unlock()
	}
	if s.options.PoisonText != "" && strings.Contains(body, s.options.PoisonText) {
		s.Crash()
		if s.options.OnCrash != nil {
			s.options.OnCrash()
		}
		return
	}
	time.Sleep(s.options.Latency)
	if s.options.Scorer {
		reply(ctx, fasthttp.StatusOK, score{Score: float64(xxhash.Sum64String(body)%1000) / 1000})
		return
	}
	reply(ctx, fasthttp.StatusOK, echo{
		Service: s.options.Name, Path: string(ctx.Path()), Operation: operation, BodyHash: BodyHash(body),
	})
}

// BodyHash returns the hash of a request's body that the service puts into its answer.
func BodyHash(body string) string { return fmt.Sprintf("%016x", xxhash.Sum64String(body)) }

func operationOf(ctx *fasthttp.RequestCtx) string {
	var named struct {
		Operation string `json:"operation"`
	}
	if json.Unmarshal(ctx.PostBody(), &named) == nil && named.Operation != "" {
		return named.Operation
	}
	return string(ctx.Request.Header.Peek("Idempotency-Key"))
}
