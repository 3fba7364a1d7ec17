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

	// maxChunkBytes is the size of the largest chunk accepted from the weight
	// store.
	maxChunkBytes = 64 << 20
)

var (
	errWeightsDigest = errors.New("agent: weights do not match their digest")
	errNoStore       = errors.New("agent: no weight store in the settings")
	errNoChunk       = errors.New("agent: source does not hold the chunk")
)

// fetcher fetches the chunks of weight versions to this agent.
type fetcher struct {
	store platformpb.WeightStoreClient
	table *chunkTable
	peers *rpcpool.Pool
}

// prepare fetches the version that the order names and verifies it. Chunks that
// are already stored are not fetched again, so a repeated order costs nothing.
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
	if err := f.fetchChunks(ctx, model, o, chunks); err != nil {
		return err
	}
	return f.verify(model, o.Version, chunks, manifest.Sha256)
}

// weightsName returns the name of a model or an adapter in the weight store.
func weightsName(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + "/" + adapter
}

// weightStore returns a client of the platform's weight store, or nil if the
// settings name no platform. It connects on first use. The daemon has already
// rejected certificate files that can't be read.
func weightStore(s settings.Settings) platformpb.WeightStoreClient {
	if s.PlatformAddress == "" {
		return nil
	}
	creds, err := tlsconf.PlatformCredentials(s.PlatformTLS, s.PlatformAddress)
	if err != nil {
		return nil
	}
	conn, err := grpc.NewClient(s.PlatformAddress, grpc.WithTransportCredentials(creds))
	if err != nil {
		return nil
	}
	return platformpb.NewWeightStoreClient(conn)
}

type chunkResult struct {
	chunk weights.ChunkSource
	err   error
}

func (f *fetcher) fetchChunks(ctx context.Context, model string, o wire.Order, chunks int) error {
	plan := weights.NewFetchPlan(chunks, o.Sources)
	results := make(chan chunkResult)
	outstanding := 0
	for {
		for _, chunk := range plan.Next() {
			outstanding++
			go func() { results <- chunkResult{chunk: chunk, err: f.fetchChunk(ctx, model, o.Version, chunk)} }()
		}
		if outstanding == 0 && !plan.Done() && ctx.Err() == nil {
			return errors.Wrap(errNoChunk, "every source failed")
		}
		if outstanding == 0 {
			return ctx.Err()
		}
		result := <-results
		outstanding--
		switch {
		case result.err == nil:
			plan.MarkReceived(result.chunk)
		case ctx.Err() != nil:
			// The chunk stays pending: no more fetches start, the rest is only awaited.
		default:
			plan.MarkFailed(result.chunk)
		}
	}
}

func (f *fetcher) fetchChunk(ctx context.Context, model string, version int64, chunk weights.ChunkSource) error {
	id := wire.ChunkRequest{Model: model, Version: version, Index: chunk.Index}
	if _, held := f.table.get(id); held {
		return nil
	}
	var data []byte
	var err error
	if chunk.Source == weights.StoreSource {
		data, err = f.fetchFromStore(ctx, id)
	} else {
		data, err = f.fetchFromPeer(ctx, chunk.Source, id)
	}
	if err != nil {
		return err
	}
	return f.table.put(id, data)
}

func (f *fetcher) fetchFromStore(ctx context.Context, id wire.ChunkRequest) ([]byte, error) {
	request := &platformpb.ChunkRequest{Model: id.Model, Version: id.Version, Index: int32(id.Index)}
	reply, err := f.store.Chunk(ctx, request, grpc.MaxCallRecvMsgSize(maxChunkBytes))
	if err != nil {
		// The plan soon retries a store that is at its limit. The delay limits
		// the rate of these retries.
		select {
		case <-ctx.Done():
		case <-time.After(storeRetryDelay):
		}
		return nil, err
	}
	return reply.Data, nil
}

// verify compares the chunks with the manifest's digest and marks the version
// as verified. Without it, a chunk that was truncated or corrupted on its way
// between agents would be served as weights.
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
		f.table.markVerified(verifiedVersion{model: model, version: version, chunks: chunks, digest: want})
		return nil
	}
	f.table.dropVersion(model, version, chunks)
	return errWeightsDigest
}

func (f *fetcher) fetchFromPeer(ctx context.Context, address string, id wire.ChunkRequest) ([]byte, error) {
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
