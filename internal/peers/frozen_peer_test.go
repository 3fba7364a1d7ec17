package peers_test

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/peers"
	"siskinloom.example/siskinloom/internal/wire"
)

var _ = Describe("a call to an entry that doesn't read from its connections", func() {
	// The owner of a claim partition is frozen: its kernel accepts connections
	// and bytes until its buffers are full, and then the caller's write blocks.
	// The call must still end at its own deadline, or every caller of that
	// partition would wait past its own.
	It("ends at the call's own deadline", func() {
		frozen, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(frozen.Close)
		p := peers.New(peers.Options{ID: "e1", HeartbeatInterval: interval})
		ended := make(chan error, 1)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			large := wire.ClaimRequest{Call: wire.Request{Body: make([]byte, 64<<20)}}
			ended <- p.CallPeer(ctx, frozen.Addr().String(), false, "Claim.Do", large, &wire.ClaimReply{})
		}()
		Eventually(ended).WithTimeout(timeout).Should(Receive(MatchError(context.DeadlineExceeded)))
	})
})
