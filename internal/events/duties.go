package events

import "github.com/sirupsen/logrus"

// Events of duties: 1800 to 1899.
var (
	DutyAcquired = define(1800, logrus.InfoLevel, "duty acquired")
	DutyLost     = define(1801, logrus.InfoLevel, "duty released or lost")
	DutyExpired  = define(1802, logrus.WarnLevel, "lease of a duty expired without renewal")
)
