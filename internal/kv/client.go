package kv

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"siskinloom.example/siskinloom/api/platformpb"
	"siskinloom.example/siskinloom/internal/policy/platform"
)

// Defaults of Options.
const (
	DefaultCallTimeout      = 500 * time.Millisecond
	DefaultMaxWatchDuration = time.Minute
)

// redialThreshold is the number of consecutive timeouts on one connection after
// which the client dials a new one. If a device between the two ends loses the
// connection's state, the connection stays silent forever while new ones work.
const redialThreshold = 2

// ranks holds the priority of each use in the call budget; rank 0 is the most
// important.
var ranks = map[Use]platform.Rank{
	UseLease:      0,
	UseClaim:      1,
	UseHandover:   2,
	UseConfig:     3,
	UseWeights:    4,
	UseQuarantine: 5,
	UseStatus:     6,
}

// maxRank is the least important rank. A use that is not in ranks has it too.
const maxRank = platform.Rank(6)

// Options configures a Client. Zero durations are replaced by their defaults.
type Options struct {
	Address          string        // ip:port of the platform
	Writer           string        // instance ID, stored with each value written
	CallsPerSec      float64       // limit of calls per second, shared by all uses
	CallTimeout      time.Duration // timeout of one call
	MaxWatchDuration time.Duration // Watch returns after this; its caller opens it again
	Metrics          metrics.Registry
	OnState          func(state string) // called with the new state when State changes; may be nil
	Dial             []grpc.DialOption
}

// Client is a client of the platform's key-value service. A process has one,
// shared by all uses. It implements Store and is safe for concurrent use.
type Client struct {
	options Options

	// mu guards the fields below and is never held during a call.
	mu       sync.Mutex
	budget   *platform.Budget
	breaker  *platform.Breaker
	rnd      *rand.Rand
	conn     *grpc.ClientConn
	timeouts int // consecutive timeouts on conn
}

var _ Store = (*Client)(nil)

// NewClient returns a client, which connects on its first call.
func NewClient(o Options) (*Client, error) {
	if o.CallTimeout == 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.MaxWatchDuration == 0 {
		o.MaxWatchDuration = DefaultMaxWatchDuration
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	c := &Client{
		options: o,
		budget:  platform.NewBudget(o.CallsPerSec, max(1, int(o.CallsPerSec)), maxRank),
		breaker: platform.NewBreaker(platform.DefaultConfig()),
		rnd:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	conn, err := c.dial()
	if err != nil {
		return nil, errors.Wrap(err, "kv")
	}
	c.conn = conn
	return c, nil
}

// Close ends every call and watch.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn.Close()
}

// State returns the state of the service as the client sees it: "up", "slow" or
// "down".
func (c *Client) State() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.breaker.State().String()
}

func (c *Client) dial() (*grpc.ClientConn, error) {
	options := append([]grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(64 << 20)),
		grpc.WithStatsHandler(byteCounter{c.options.Metrics}),
	}, c.options.Dial...)
	return grpc.NewClient(c.options.Address, options...)
}

// call sends one call as soon as the circuit breaker and the budget allow it. If
// the error is ErrUnavailable or ErrBudget, the call was not sent.
func (c *Client) call(ctx context.Context, use Use, send func(context.Context, platformpb.KeyValueClient) error) error {
	conn, err := c.admit(ctx, use)
	if err != nil {
		c.count("refused", use)
		return err
	}
	c.count("calls", use)
	limited, cancel := context.WithTimeout(withUse(ctx, use), c.options.CallTimeout)
	defer cancel()
	begin := time.Now()
	err = send(limited, platformpb.NewKeyValueClient(conn))
	c.reportCall(ctx, conn, err, time.Since(begin))
	if err != nil {
		c.count("errors", use)
	}
	return err
}

// admit blocks until the budget allows the call or ctx ends, and returns the
// connection to use. While the breaker rejects the call, admit fails at once: it
// never waits for the service to recover.
func (c *Client) admit(ctx context.Context, use Use) (*grpc.ClientConn, error) {
	rank, known := ranks[use]
	if !known {
		rank = maxRank
	}
	for {
		conn, wait, err := c.tryAdmit(rank)
		if err != nil || wait == 0 {
			return conn, err
		}
		if deadline, limited := ctx.Deadline(); limited && time.Until(deadline) < wait {
			return nil, ErrBudget
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil, ErrBudget
		case <-timer.C:
		}
	}
}

// tryAdmit returns the connection to use or how long to wait for the budget.
func (c *Client) tryAdmit(rank platform.Rank) (*grpc.ClientConn, time.Duration, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.breaker.Blocked(now, rank) {
		return nil, 0, ErrUnavailable
	}
	if wait := c.budget.Take(now, rank); wait > 0 {
		return nil, wait, nil
	}
	// Only a call that is sent immediately may use the breaker's single probe.
	c.breaker.Allow(now, rank)
	return c.conn, 0, nil
}

// reportCall updates the state with a call's result. A call that its caller
// cancelled says nothing about the service, unless it had already run for at
// least half of CallTimeout.
func (c *Client) reportCall(ctx context.Context, conn *grpc.ClientConn, err error, latency time.Duration) {
	result := resultOf(err)
	if result == platform.Failed && ctx.Err() != nil && latency < c.options.CallTimeout/2 {
		return
	}
	before, after := c.updateState(conn, err, result, latency)
	if before != after && c.options.OnState != nil {
		c.options.OnState(after.String())
	}
}

// updateState updates breaker, budget and connection with a call's result, and
// returns the state before and after.
func (c *Client) updateState(conn *grpc.ClientConn, err error, result platform.Result, latency time.Duration) (before, after platform.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	before = c.breaker.State()
	if c.breaker.Report(now, result, latency, c.rnd) {
		c.budget.Drain(now)
	}
	switch result {
	case platform.Refused:
		c.budget.Refused(now)
	case platform.Served:
		c.budget.Served(now)
	}
	c.trackTimeouts(conn, status.Code(err) == codes.DeadlineExceeded)
	return before, c.breaker.State()
}

// trackTimeouts counts consecutive timeouts on the current connection and dials a
// new one when they reach redialThreshold.
func (c *Client) trackTimeouts(conn *grpc.ClientConn, timeout bool) {
	if conn != c.conn {
		return
	}
	if !timeout {
		c.timeouts = 0
		return
	}
	c.timeouts++
	if c.timeouts < redialThreshold {
		return
	}
	newConn, err := c.dial()
	if err != nil {
		return // the address was valid at startup; the next timeout dials again
	}
	c.timeouts = 0
	c.conn = newConn
	_ = conn.Close()
}

func resultOf(err error) platform.Result {
	switch status.Code(err) {
	case codes.OK, codes.NotFound, codes.InvalidArgument, codes.FailedPrecondition:
		return platform.Served
	case codes.ResourceExhausted:
		return platform.Refused
	default:
		return platform.Failed
	}
}

func (c *Client) count(what string, use Use) {
	metrics.GetOrRegisterCounter("kv."+what+"."+string(use), c.options.Metrics).Inc(1)
}
