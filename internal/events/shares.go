package events

import "github.com/sirupsen/logrus"

// Events of the division of a service's slots between processes: 2530 to 2539.
var (
	SharesBegan       = define(2530, logrus.InfoLevel, "service is under pressure; its slots are divided between processes")
	SharesEnded       = define(2531, logrus.InfoLevel, "service is no longer under pressure")
	SharesNotSent     = define(2532, logrus.WarnLevel, "demand for a service could not be reported to a worker")
	SharesWorker      = define(2533, logrus.InfoLevel, "another worker divides the slots of a service")
	SharesExpired     = define(2534, logrus.WarnLevel, "no valid allotment of a service; an equal part is used")
	SharesValueUnused = define(2535, logrus.WarnLevel, "value in a message about shares is not used")
)
