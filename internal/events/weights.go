package events

import "github.com/sirupsen/logrus"

// Events of weights: 1600 to 1699.
var (
	WeightsFetched           = define(1600, logrus.InfoLevel, "weights prefetched")
	WeightsFetchFailed       = define(1601, logrus.WarnLevel, "weights could not be fetched")
	WeightsLoaded            = define(1602, logrus.InfoLevel, "engine loaded a weight version")
	WeightsLoadFailed        = define(1603, logrus.WarnLevel, "engine failed to load a weight version")
	WeightsAnnounced         = define(1604, logrus.InfoLevel, "weight version announced")
	WeightsRolloutStarted    = define(1605, logrus.InfoLevel, "weights rollout started by this entry")
	WeightsRolloutSuperseded = define(1606, logrus.WarnLevel, "weights rollout stopped; an agent reported a newer owner")
	WeightsInForce           = define(1607, logrus.InfoLevel, "weight version loaded on every engine")
	WeightsBlocked           = define(1608, logrus.WarnLevel, "capacity floor prevents every load of new weights")
	RolesInForce             = define(1610, logrus.InfoLevel, "every engine has its declared role")
	WeightsUnreadable        = define(1609, logrus.ErrorLevel, "record of announced weights cannot be read")
)
