package events

import "github.com/sirupsen/logrus"

// Events of the platform's services: 1900 to 1999.
var (
	PlatformDown = define(1900, logrus.WarnLevel, "platform service does not answer")
	PlatformSlow = define(1901, logrus.WarnLevel, "platform service is slow")
	PlatformUp   = define(1902, logrus.InfoLevel, "platform service answers again")
)
