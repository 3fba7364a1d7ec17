package events

import "github.com/sirupsen/logrus"

// Events of requests on a platform's machines: 2000 to 2099.
var (
	RequestAnswered  = define(2000, logrus.InfoLevel, "request answered")
	RequestRefused   = define(2001, logrus.WarnLevel, "request refused without having run")
	RequestUnknown   = define(2002, logrus.WarnLevel, "request ended without an answer; it may have run")
	RequestCancelled = define(2003, logrus.InfoLevel, "caller left before its answer")
	AttemptFailed    = define(2004, logrus.WarnLevel, "endpoint gave no answer to use")
	AttemptHedged    = define(2005, logrus.InfoLevel, "endpoint is slow to answer; second one asked")
	StreamResumed    = define(2006, logrus.WarnLevel, "stream broke off; resumed at another endpoint")
	RequestMalformed = define(2007, logrus.InfoLevel, "request is malformed")
)

// Events of batch jobs: 2100 to 2199.
var (
	JobAccepted      = define(2100, logrus.InfoLevel, "batch job accepted")
	JobNotAccepted   = define(2101, logrus.WarnLevel, "batch job refused")
	JobOwned         = define(2102, logrus.InfoLevel, "batch job taken on as its owner")
	JobDropped       = define(2103, logrus.InfoLevel, "batch job is no longer this process's")
	JobFinished      = define(2104, logrus.InfoLevel, "batch job has all its results")
	JobEnded         = define(2105, logrus.InfoLevel, "batch job ended by its submitter")
	JobMoved         = define(2106, logrus.InfoLevel, "batch job handed on to another owner")
	JobUnreadable    = define(2107, logrus.ErrorLevel, "batch job in the store cannot be read")
	ItemRunEnded     = define(2110, logrus.InfoLevel, "run of an item ended")
	ItemListed       = define(2111, logrus.InfoLevel, "item has its result")
	ItemScoreLost    = define(2112, logrus.WarnLevel, "scoring call gave no score")
	ResultsDelayed   = define(2113, logrus.WarnLevel, "results could not be written")
	JobStays         = define(2117, logrus.WarnLevel, "batch job stays with an owner that does not answer")
	OwnerNotNotified = define(2115, logrus.InfoLevel, "owner was not told of its mark; its watch will tell it")
	TextsRecovered   = define(2118, logrus.InfoLevel, "texts of a batch job found on this machine's disk")
	TextsStopped     = define(2119, logrus.WarnLevel, "texts of a batch job are not kept on disk")
	TextsUnreadable  = define(2120, logrus.WarnLevel, "part of a file of texts cannot be used")
	TextsNotCopied   = define(2121, logrus.InfoLevel, "new events of texts did not reach the standby process")
	StepComplete     = define(2122, logrus.InfoLevel, "step of a trainer is whole")
	ResultsResumed   = define(2123, logrus.InfoLevel, "results are written again")
	StandbyRuns      = define(2125, logrus.WarnLevel, "standby runs a batch job whose owner is lost, as the store is away")
	StandbyEnded     = define(2126, logrus.InfoLevel, "standby runs a batch job no longer")
	JobsNotMoved     = define(2124, logrus.WarnLevel, "jobs of a process that is gone could not be moved")
	JobSwept         = define(2116, logrus.InfoLevel, "old batch job removed from the store")
	ReadFailed       = define(2114, logrus.WarnLevel, "results of a batch job could not be read")
)

// Events of what a process believes of the fleet: 2200 to 2299.
var (
	StoreLost             = define(2200, logrus.WarnLevel, "platform's store does not answer")
	StoreBack             = define(2201, logrus.InfoLevel, "platform's store answers again")
	DeclarationInForce    = define(2202, logrus.InfoLevel, "declaration in force")
	DeclarationUnreadable = define(2203, logrus.ErrorLevel, "declaration cannot be read; the one before stays")
	EndpointListed        = define(2204, logrus.InfoLevel, "endpoint listed")
	EndpointLeaving       = define(2205, logrus.InfoLevel, "endpoint leaves; no new requests")
	EndpointGone          = define(2206, logrus.InfoLevel, "endpoint no longer listed")
	FleetRecordUnreadable = define(2207, logrus.WarnLevel, "entry names no endpoint to use")
	MemberListed          = define(2208, logrus.InfoLevel, "process of the system listed")
	MemberGone            = define(2209, logrus.WarnLevel, "process of the system no longer listed")
	MemberRegistered      = define(2210, logrus.InfoLevel, "this process registered itself")
	RegistrationLost      = define(2211, logrus.WarnLevel, "this process's registration was taken away")
	RetireRequested       = define(2212, logrus.InfoLevel, "this machine is to be emptied")
	StoreRelayed          = define(2215, logrus.WarnLevel, "store is reached by way of another process")
	StoreDirect           = define(2216, logrus.InfoLevel, "store is reached directly again")
	FleetSourceChanged    = define(2214, logrus.InfoLevel, "news of the fleet come from another source")
	EndpointsSynced       = define(2217, logrus.InfoLevel, "first list of endpoints taken in")
	MembersSynced         = define(2218, logrus.InfoLevel, "first list of the system's processes taken in")
	KeysChanged           = define(2219, logrus.InfoLevel, "keys of a customer changed")
	RetireDone            = define(2213, logrus.InfoLevel, "this machine is empty")
)

// Events of weight orders: 2300 to 2399.
var (
	LeaderAcquired   = define(2300, logrus.InfoLevel, "weight orders and usage reports are this process's")
	LeaderLost       = define(2301, logrus.WarnLevel, "weight orders and usage reports are no longer this process's")
	VersionAnnounced = define(2302, logrus.InfoLevel, "weight version named")
	OrderAnswered    = define(2303, logrus.InfoLevel, "engine answered a weight order")
	OrderFailed      = define(2304, logrus.WarnLevel, "engine did not take a weight order")
)

// Events of usage reports: 2400 to 2499.
var (
	UsageClosed      = define(2400, logrus.InfoLevel, "window of usage is closed")
	UsageReported    = define(2401, logrus.InfoLevel, "usage of a window was reported")
	UsageNotReported = define(2402, logrus.WarnLevel, "report of usage was not accepted; it is sent again")
	UsageLost        = define(2403, logrus.ErrorLevel, "usage of a window is not reported")
	UsageNotSent     = define(2404, logrus.WarnLevel, "counts of usage did not reach a process")
	UsageUnreadable  = define(2405, logrus.ErrorLevel, "report of usage in the store cannot be read")
)
