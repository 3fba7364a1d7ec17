package peers

import (
	"context"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/entry"
	"siskinloom.example/siskinloom/internal/rpcpool"
)

// CallPeer calls a method of the entry at an inner address, on a pooled
// connection or, if newConn is set, on a new one. An error entry.ErrNotSent
// means that the entry certainly never saw the call.
func (p *Peers) CallPeer(ctx context.Context, address string, newConn bool, method string, args, reply any) error {
	call := p.clients.Call
	if newConn {
		call = p.clients.CallFresh
	}
	err := call(ctx, address, method, args, reply)
	var dial *rpcpool.DialError
	if errors.As(err, &dial) {
		return errors.Wrap(entry.ErrNotSent, err.Error())
	}
	return err
}
