package events

import "github.com/sirupsen/logrus"

// Events of a process's start, readiness, settings and stop: 1000 to 1099.
var (
	ProcessStarted     = define(1000, logrus.InfoLevel, "process started")
	ProcessStopping    = define(1001, logrus.InfoLevel, "graceful shutdown started")
	ProcessStopped     = define(1002, logrus.InfoLevel, "process stopped")
	ProcessReady       = define(1003, logrus.InfoLevel, "process ready to serve")
	ProcessNotReady    = define(1004, logrus.WarnLevel, "process no longer ready to serve")
	SettingsReloaded   = define(1007, logrus.InfoLevel, "settings reloaded")
	SettingsUnreadable = define(1008, logrus.ErrorLevel, "settings cannot be read; the previous ones stay in force")
	MechanismsSet      = define(1009, logrus.InfoLevel, "mechanisms in force")
	AcceptFailed       = define(1010, logrus.WarnLevel, "connection from another process could not be accepted")
	ProcessFailed      = define(1005, logrus.ErrorLevel, "process failed")
)
