package standin

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"siskinloom.example/siskinloom/api/platformpb"
)

const (
	defaultVersionBytes = 1 << 20
	defaultChunkBytes   = 256 << 10
)

// weightStore serves made-up weights of any model and version at a limited rate.
type weightStore struct {
	platformpb.UnimplementedWeightStoreServer
	limit *rate.Limiter // nil: none; its burst is one chunk
	bytes int
	chunk int
}

func newWeightStore(o PlatformOptions) *weightStore {
	s := &weightStore{bytes: o.VersionBytes, chunk: o.ChunkBytes}
	if s.bytes == 0 {
		s.bytes = defaultVersionBytes
	}
	if s.chunk == 0 {
		s.chunk = defaultChunkBytes
	}
	if o.WeightStoreRate > 0 {
		s.limit = rate.NewLimiter(rate.Limit(o.WeightStoreRate), s.chunk)
	}
	return s
}

func (s *weightStore) chunks() int { return (s.bytes + s.chunk - 1) / s.chunk }

// Manifest returns size, number of chunks and the digest of all chunks in order.
func (s *weightStore) Manifest(_ context.Context, r *platformpb.ManifestRequest) (*platformpb.ManifestResponse, error) {
	digest := sha256.New()
	for i := range s.chunks() {
		digest.Write(s.data(r.Model, r.Version, i))
	}
	return &platformpb.ManifestResponse{Bytes: int64(s.bytes), Chunks: int32(s.chunks()), Sha256: digest.Sum(nil)}, nil
}

// Chunk returns one chunk once the rate limit lets it through.
func (s *weightStore) Chunk(ctx context.Context, r *platformpb.ChunkRequest) (*platformpb.ChunkResponse, error) {
	if r.Index < 0 || int(r.Index) >= s.chunks() {
		return nil, status.Error(codes.OutOfRange, "no such chunk")
	}
	data := s.data(r.Model, r.Version, int(r.Index))
	if s.limit != nil {
		if err := s.limit.WaitN(ctx, len(data)); err != nil {
			return nil, status.Error(codes.ResourceExhausted, err.Error())
		}
	}
	return &platformpb.ChunkResponse{Data: data}, nil
}

func (s *weightStore) data(model string, version int64, index int) []byte {
	data := make([]byte, min(s.chunk, s.bytes-index*s.chunk))
	word := xxhash.Sum64String(fmt.Sprintf("%s/%d/%d", model, version, index))
	for i := 0; i+8 <= len(data); i += 8 {
		binary.LittleEndian.PutUint64(data[i:], word+uint64(i))
	}
	return data
}
