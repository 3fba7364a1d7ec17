package kv

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"siskinloom.example/siskinloom/api/platformpb"
)

// Instance is one element of the platform's list of instances. The list lags
// behind the actual state and may be wrong.
type Instance struct {
	ID            string
	Address       string // ip:port of the inner protocol (package wire)
	FailureDomain string
	Region        string
	Role          string // "entry" or "agent"
	Service       string // agents only
	Leaving       bool
}

// Lister reads the platform's list of instances. It is a client of another
// service than Client and does not count against the call budget.
type Lister struct {
	conn    *grpc.ClientConn
	timeout time.Duration
}

// NewLister returns a lister, which connects on its first call.
func NewLister(address string, options ...grpc.DialOption) (*Lister, error) {
	options = append([]grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())}, options...)
	conn, err := grpc.NewClient(address, options...)
	if err != nil {
		return nil, errors.Wrap(err, "instances")
	}
	return &Lister{conn: conn, timeout: 2 * time.Second}, nil
}

// Close ends every call.
func (l *Lister) Close() error {
	return l.conn.Close()
}

// Instances returns the instances that the list currently has for the deployment.
func (l *Lister) Instances(ctx context.Context, deployment string) ([]Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	list, err := platformpb.NewInstancesClient(l.conn).ListInstances(ctx, &platformpb.ListInstancesRequest{Deployment: deployment})
	if err != nil {
		return nil, errors.Wrap(err, "instances")
	}
	all := make([]Instance, 0, len(list.Instances))
	for _, i := range list.Instances {
		all = append(all, Instance{
			ID:            i.Id,
			Address:       i.Address,
			FailureDomain: i.FailureDomain,
			Region:        i.Region,
			Role:          i.Role,
			Service:       i.Service,
			Leaving:       i.Leaving,
		})
	}
	return all, nil
}
