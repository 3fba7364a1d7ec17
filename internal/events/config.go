package events

import "github.com/sirupsen/logrus"

// Events of configuration: 1700 to 1799.
var (
	ConfigInForce    = define(1700, logrus.InfoLevel, "configuration in force")
	ConfigUnreadable = define(1701, logrus.ErrorLevel, "stored configuration cannot be read")
	ConfigAccepted   = define(1702, logrus.InfoLevel, "configuration change accepted")
	ConfigRefused    = define(1703, logrus.WarnLevel, "configuration change refused")
	ConfigUnknown    = define(1704, logrus.WarnLevel, "outcome of a configuration change is unknown")
	OperatorRefused  = define(1705, logrus.WarnLevel, "operator not recognised")

	// QuarantineReleaseRequested is logged for every request of an operator; its field released says
	// whether the fingerprint was in quarantine.
	QuarantineReleaseRequested = define(1706, logrus.InfoLevel, "operator requested the release of a quarantined request")
)
