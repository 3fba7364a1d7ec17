package events

import "github.com/sirupsen/logrus"

// Events of what callers hold of a process: 2550 to 2559.
var (
	// CallersRefused is written at most once a second, with the number of callers by reason.
	CallersRefused = define(2550, logrus.WarnLevel, "callers were refused, as they hold too much of this process")
)
