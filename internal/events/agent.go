package events

import "github.com/sirupsen/logrus"

// Events of an agent: 1200 to 1299.
var (
	AgentServing    = define(1200, logrus.InfoLevel, "agent serves its endpoint")
	AgentLeaving    = define(1201, logrus.InfoLevel, "agent is shutting down; it refuses new requests")
	EndpointDown    = define(1202, logrus.WarnLevel, "endpoint does not answer")
	EndpointUp      = define(1203, logrus.InfoLevel, "endpoint answers again")
	EndpointCrashed = define(1204, logrus.WarnLevel, "endpoint closed the connection during a request")
)
