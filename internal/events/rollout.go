package events

import "github.com/sirupsen/logrus"

// Events of rollouts: 1500 to 1599.
var (
	FeedAcquired    = define(1500, logrus.InfoLevel, "trainer feed taken over")
	FeedReleased    = define(1501, logrus.InfoLevel, "trainer feed given up")
	FeedSuperseded  = define(1502, logrus.WarnLevel, "a successor owns the trainer feed")
	SampleFailed    = define(1506, logrus.WarnLevel, "sample given up as its prompt crashes engines")
	SampleDiscarded = define(1503, logrus.WarnLevel, "sample discarded and generated again")
	PullRefused     = define(1504, logrus.DebugLevel, "trainer's pull refused")
	// CacheNotImported: the sample goes on all the same, with its cache computed anew.
	CacheNotImported = define(1505, logrus.InfoLevel, "KV cache not imported; the engine computes it anew")
)
