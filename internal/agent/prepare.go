package agent

import (
	"bytes"
	"context"
	"crypto/sha256"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"siskinloom.example/siskinloom/api/platformpb"
	"siskinloom.example/siskinloom/internal/policy/weights"
	"siskinloom.example/siskinloom/internal/rpcpool"
	"siskinloom.example/siskinloom/internal/settings"
	"siskinloom.example/siskinloom/internal/tlsconf"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	methodChunk = wire.AgentService + ".Chunk"

	// maxChunkBytes is the largest chunk taken from the store.
	maxChunkBytes = 64 << 20
)

var (
	errWeightsDigest = errors.New("agent: weights do not match their digest")
	errNoStore       = errors.New("agent: no weight store in the settings")
	errNoChunk       = errors.New("agent: source does not hold the chunk")
)

// fetcher brings a version's chunks to this agent.
type fetcher struct {
	store platformpb.WeightStoreClient
	table *chunkTable
	peers *rpcpool.Pool
}

// prepare fetches a version as the order says. Chunks already held are not
// fetched again, so a repeated order costs nothing.
func (f *fetcher) prepare(ctx context.Context, o wire.Order) error {
	if f.store == nil {
		return errNoStore
	}
	model := weightsName(o.Model, o.Adapter)
	manifest, err := f.store.Manifest(ctx, &platformpb.ManifestRequest{Model: model, Version: o.Version})
	if err != nil {
		return errors.Wrap(err, "weight store")
	}
	if !f.table.fits(model, o.Version, int(manifest.Bytes)) {
		return errors.Errorf("agent: %d bytes of weights are more than this agent may hold", manifest.Bytes)
	}
	chunks := int(manifest.Chunks)
	if err := f.fetch(ctx, model, o, chunks); err != nil {
		return err
	}
	return f.verify(model, o.Version, chunks, manifest.Sha256)
}

// weightsName is an adapter's or a model's name in the weight store.
func weightsName(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + "/" + adapter
}

// weightStore returns a client of the platform's weight store; its connection is
// made when first used. The daemon has refused files that cannot be read.
func weightStore(s settings.Settings) platformpb.WeightStoreClient {
	if s.Platform == "" {
		return nil
	}
	towards, err := tlsconf.PlatformCredentials(s.PlatformTLS, s.Platform)
	if err != nil {
		return nil
	}
	conn, err := grpc.NewClient(s.Platform, grpc.WithTransportCredentials(towards))
	if err != nil {
		return nil
	}
	return platformpb.NewWeightStoreClient(conn)
}

type pieceEnd struct {
	piece weights.ChunkSource
	err   error
}

func (f *fetcher) fetch(ctx context.Context, model string, o wire.Order, chunks int) error {
	plan := weights.NewFetchPlan(chunks, o.Sources)
	ends := make(chan pieceEnd)
	outstanding := 0
	for {
		for _, piece := range plan.Next() {
			outstanding++
			go func() { ends <- pieceEnd{piece: piece, err: f.piece(ctx, model, o.Version, piece)} }()
		}
		if outstanding == 0 && !plan.Done() && ctx.Err() == nil {
			return errors.Wrap(errNoChunk, "every source failed")
		}
		if outstanding == 0 {
			return ctx.Err()
		}
		end := <-ends
		outstanding--
		switch {
		case end.err == nil:
			plan.MarkReceived(end.piece)
		case ctx.Err() != nil:
			// Left as asked: nothing more is started, the rest is only collected.
		default:
			plan.MarkFailed(end.piece)
		}
	}
}

func (f *fetcher) piece(ctx context.Context, model string, version int64, p weights.ChunkSource) error {
	id := wire.ChunkRequest{Model: model, Version: version, Index: p.Index}
	if _, held := f.table.get(id); held {
		return nil
	}
	var data []byte
	var err error
	if p.Source == weights.StoreSource {
		data, err = f.fromStore(ctx, id)
	} else {
		data, err = f.fromPeer(ctx, p.Source, id)
	}
	if err != nil {
		return err
	}
	return f.table.put(id, data)
}

func (f *fetcher) fromStore(ctx context.Context, id wire.ChunkRequest) ([]byte, error) {
	request := &platformpb.ChunkRequest{Model: id.Model, Version: id.Version, Index: int32(id.Index)}
	reply, err := f.store.Chunk(ctx, request, grpc.MaxCallRecvMsgSize(maxChunkBytes))
	if err != nil {
		// A store at its limit is asked again soon by the plan; pausing here keeps
		// that from becoming a storm.
		select {
		case <-ctx.Done():
		case <-time.After(storePause):
		}
		return nil, err
	}
	return reply.Data, nil
}

// verify holds the chunks against the manifest's digest. A chunk that was cut or
// changed on its way between agents would otherwise be served as weights.
func (f *fetcher) verify(model string, version int64, chunks int, want []byte) error {
	digest := sha256.New()
	for i := range chunks {
		data, held := f.table.get(wire.ChunkRequest{Model: model, Version: version, Index: i})
		if !held {
			return errors.Wrapf(errNoChunk, "chunk %d", i)
		}
		digest.Write(data)
	}
	if bytes.Equal(digest.Sum(nil), want) {
		f.table.verified(heldVersion{model: model, version: version, chunks: chunks, digest: want})
		return nil
	}
	f.table.drop(model, version, chunks)
	return errWeightsDigest
}

func (f *fetcher) fromPeer(ctx context.Context, address string, id wire.ChunkRequest) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, weights.ChunkRequestTimeout)
	defer cancel()
	var reply wire.ChunkReply
	if err := f.peers.Call(ctx, address, methodChunk, id, &reply); err != nil {
		return nil, err
	}
	if !reply.Found {
		return nil, errNoChunk
	}
	return reply.Data, nil
}
