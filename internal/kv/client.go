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

// timeoutsToRedial is how many calls in a row may time out on one connection
// before a new one is made: a connection whose state was lost between the two
// ends stays silent for good while new ones work.
const timeoutsToRedial = 2

// ranks orders the uses for the call budget.
var ranks = map[Use]platform.Rank{
	UseLease:      0,
	UseClaim:      1,
	UseHandover:   2,
	UseConfig:     3,
	UseWeights:    4,
	UseQuarantine: 5,
	UseStatus:     6,
}

const lowestRank = platform.Rank(6)

// Options sets up a Client. Zero durations take their defaults.
type Options struct {
	Address          string // ip:port of the platform
	Writer           string // instance id, kept in each value written
	CallsPerSec      float64
	CallTimeout      time.Duration // of one call
	MaxWatchDuration time.Duration // a watch ends after this; its user opens it again
	Metrics          metrics.Registry
	OnState          func(state string) // told each change of State; may be nil
	Dial             []grpc.DialOption
}

// Client speaks to the platform's key-value service. A process has one, shared
// by all uses. It implements Store and is safe for concurrent use.
type Client struct {
	options Options

	// mu guards what follows and is never held over a call.
	mu       sync.Mutex
	budget   *platform.Budget
	breaker  *platform.Breaker
	rnd      *rand.Rand
	conn     *grpc.ClientConn
	timeouts int // in a row on conn
}

var _ Store = (*Client)(nil)

// NewClient returns a client; it connects on its first call.
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
		budget:  platform.NewBudget(o.CallsPerSec, max(1, int(o.CallsPerSec)), lowestRank),
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

// State tells what the client believes of the service: "up", "slow" or "down".
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

// call sends one call once breaker and budget let it pass. An error that is
// ErrUnavailable or ErrBudget means that it was not sent.
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
	c.report(ctx, conn, err, time.Since(begin))
	if err != nil {
		c.count("errors", use)
	}
	return err
}

// admit waits for the budget as long as ctx allows. It never waits for the
// service to come back.
func (c *Client) admit(ctx context.Context, use Use) (*grpc.ClientConn, error) {
	rank, known := ranks[use]
	if !known {
		rank = lowestRank
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
	// Only a call that is sent at once may hold the breaker's one probe.
	c.breaker.Allow(now, rank)
	return c.conn, 0, nil
}

// report takes in how a call ended. A call cut short by its own caller says
// nothing about the service unless it took as long as any call may.
func (c *Client) report(ctx context.Context, conn *grpc.ClientConn, err error, took time.Duration) {
	result := resultOf(err)
	if result == platform.Failed && ctx.Err() != nil && took < c.options.CallTimeout/2 {
		return
	}
	before, after := c.record(conn, err, result, took)
	if before != after && c.options.OnState != nil {
		c.options.OnState(after.String())
	}
}

// record returns the state before and after.
func (c *Client) record(conn *grpc.ClientConn, err error, result platform.Result, took time.Duration) (before, after platform.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	before = c.breaker.State()
	if c.breaker.Report(now, result, took, c.rnd) {
		c.budget.Drain(now)
	}
	switch result {
	case platform.Refused:
		c.budget.Refused(now)
	case platform.Served:
		c.budget.Served(now)
	}
	c.noteTimeout(conn, status.Code(err) == codes.DeadlineExceeded)
	return before, c.breaker.State()
}

func (c *Client) noteTimeout(conn *grpc.ClientConn, timeout bool) {
	if conn != c.conn {
		return
	}
	if !timeout {
		c.timeouts = 0
		return
	}
	c.timeouts++
	if c.timeouts < timeoutsToRedial {
		return
	}
	fresh, err := c.dial()
	if err != nil {
		return // the address was good once; the next timeout tries again
	}
	c.timeouts = 0
	c.conn = fresh
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
