package events

import "github.com/sirupsen/logrus"

// Events of rollouts: 1500 to 1599.
var (
	FeedAcquired    = define(1500, logrus.InfoLevel, "this entry became the owner of a trainer feed")
	FeedReleased    = define(1501, logrus.InfoLevel, "this entry is no longer the owner of a trainer feed")
	FeedSuperseded  = define(1502, logrus.WarnLevel, "trainer feed has a newer owner")
	SampleFailed    = define(1506, logrus.WarnLevel, "sample failed because its prompt crashes engines")
	SampleDiscarded = define(1503, logrus.WarnLevel, "sample discarded and generated again")
	PullRefused     = define(1504, logrus.DebugLevel, "trainer's pull refused")
	// CacheNotImported does not discard the sample: the engine recomputes the cache and
	// continues the generation.
	CacheNotImported = define(1505, logrus.InfoLevel, "KV cache not imported; the engine recomputes it")
)
