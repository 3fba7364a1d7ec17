package events

import "github.com/sirupsen/logrus"

// Events of an entry: 1100 to 1199.
var (
	EntryServing = define(1100, logrus.InfoLevel, "entry serves callers")
	EntryLeaving = define(1101, logrus.InfoLevel, "entry is shutting down and reports itself as not ready")
)
