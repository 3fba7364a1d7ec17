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

// weightStore serves generated weights of any model and version at a limited rate.
type weightStore struct {
	platformpb.UnimplementedWeightStoreServer
	limiter      *rate.Limiter // nil for no limit; its burst is one chunk
	versionBytes int
	chunkBytes   int
}

func newWeightStore(o PlatformOptions) *weightStore {
	s := &weightStore{versionBytes: o.VersionBytes, chunkBytes: o.ChunkBytes}
	if s.versionBytes == 0 {
		s.versionBytes = defaultVersionBytes
	}
	if s.chunkBytes == 0 {
		s.chunkBytes = defaultChunkBytes
	}
	if o.WeightStoreRate > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(o.WeightStoreRate), s.chunkBytes)
	}
	return s
}

func (s *weightStore) chunks() int { return (s.versionBytes + s.chunkBytes - 1) / s.chunkBytes }

// Manifest returns the size of a version, its number of chunks and the digest of
// all chunks in order.
func (s *weightStore) Manifest(_ context.Context, r *platformpb.ManifestRequest) (*platformpb.ManifestResponse, error) {
	digest := sha256.New()
	for i := range s.chunks() {
		digest.Write(s.data(r.Model, r.Version, i))
	}
	return &platformpb.ManifestResponse{Bytes: int64(s.versionBytes), Chunks: int32(s.chunks()), Sha256: digest.Sum(nil)}, nil
}

// Chunk returns one chunk as soon as the rate limit permits.
func (s *weightStore) Chunk(ctx context.Context, r *platformpb.ChunkRequest) (*platformpb.ChunkResponse, error) {
	if r.Index < 0 || int(r.Index) >= s.chunks() {
		return nil, status.Error(codes.OutOfRange, "no such chunk")
	}
	data := s.data(r.Model, r.Version, int(r.Index))
	if s.limiter != nil {
		if err := s.limiter.WaitN(ctx, len(data)); err != nil {
			return nil, status.Error(codes.ResourceExhausted, err.Error())
		}
	}
	return &platformpb.ChunkResponse{Data: data}, nil
}

func (s *weightStore) data(model string, version int64, index int) []byte {
	data := make([]byte, min(s.chunkBytes, s.versionBytes-index*s.chunkBytes))
	word := xxhash.Sum64String(fmt.Sprintf("%s/%d/%d", model, version, index))
	for i := 0; i+8 <= len(data); i += 8 {
		binary.LittleEndian.PutUint64(data[i:], word+uint64(i))
	}
	return data
}
