package events

import "github.com/sirupsen/logrus"

// Events of routing and membership: 1400 to 1499.
var (
	AgentState       = define(1400, logrus.InfoLevel, "agent changed state")
	ConnectionSilent = define(1401, logrus.WarnLevel, "connection does not respond; replaced by a new one")
	AgentUnreachable = define(1402, logrus.WarnLevel, "agent does not answer on any connection")
	ListUnreadable   = define(1403, logrus.WarnLevel, "list of instances could not be read; the previous one stays in use")
)
