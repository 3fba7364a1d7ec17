package operator

import (
	"context"
	"sync"

	"golang.org/x/time/rate"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Each change reads the platform's key-value service, with a higher priority than
// calls for weights. A script that calls repeatedly with a wrong key or with a
// change that is refused would use up the entry's call budget. Therefore each
// operator has a rate limit, and all callers without a known key share one, so that
// nobody can delay the changes of others.
const (
	operatorRate    = 5  // changes per second
	operatorBurst   = 50 // changes
	unknownKeyRate  = 2  // changes per second
	unknownKeyBurst = 10 // changes
	// maxOperators limits the number of rate limiters in memory. Above it they are
	// all dropped and start with a full burst.
	maxOperators = 1000
)

var errTooMany = status.Error(codes.ResourceExhausted, "too many changes at once; try again later")

// rateLimiters limits the rate of changes of each operator. Callers without a known
// key share the limiter of the empty name. The zero value is ready for use. It is
// safe for concurrent use.
type rateLimiters struct {
	mu         sync.Mutex
	byOperator map[string]*rate.Limiter
}

// allow reports whether an operator may request another change now.
func (r *rateLimiters) allow(operator string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byOperator == nil || len(r.byOperator) > maxOperators {
		r.byOperator = map[string]*rate.Limiter{}
	}
	if r.byOperator[operator] == nil {
		r.byOperator[operator] = rate.NewLimiter(operatorRate, operatorBurst)
		if operator == "" {
			r.byOperator[operator] = rate.NewLimiter(unknownKeyRate, unknownKeyBurst)
		}
	}
	return r.byOperator[operator].Allow()
}

// admit returns errTooMany if the caller exceeds its rate of changes. It identifies
// the caller by the configuration in force at this entry.
func (s *Server) admit(ctx context.Context) error {
	operator, _ := operatorOf(ctx, s.sources.Config.Current())
	if !s.rates.allow(operator) {
		return errTooMany
	}
	return nil
}
