package events

import "github.com/sirupsen/logrus"

// Events of the queues of an entry: 2520 to 2529.
var (
	// RequestsWait is written at most once per second and service, so that its volume does not
	// grow with the load.
	RequestsWait = define(2520, logrus.InfoLevel, "requests to a service wait or were refused for lack of slots")
	LimitLowered = define(2521, logrus.InfoLevel, "limit of requests in flight to a service lowered")
	QueueLeaving = define(2522, logrus.InfoLevel, "process is leaving; requests that cannot be served before its end were refused")
)
