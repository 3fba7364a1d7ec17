package events

import "github.com/sirupsen/logrus"

// Events of claims and poison requests: 1300 to 1399.
var (
	ClaimsServed     = define(1300, logrus.InfoLevel, "claim partition is served by this entry")
	ClaimsNotServed  = define(1301, logrus.InfoLevel, "claim partition is no longer served by this entry")
	ClaimsUnreadable = define(1302, logrus.ErrorLevel, "claim record cannot be read; its partition is not served")
	ClaimsStalled    = define(1303, logrus.WarnLevel, "claims cannot be written")
	ClaimsResumed    = define(1304, logrus.InfoLevel, "claims are written again")

	RequestQuarantined = define(1310, logrus.WarnLevel, "request quarantined because it crashed endpoints")
	SuspectCleared     = define(1311, logrus.InfoLevel, "request that ran at a crash was answered; it is no suspect any more")
	CopyNotAdmitted    = define(1312, logrus.WarnLevel, "suspect could not run before its deadline")
)
