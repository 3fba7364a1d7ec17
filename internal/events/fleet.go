package events

import "github.com/sirupsen/logrus"

// Events of requests on a platform's machines: 2000 to 2099.
var (
	RequestAnswered  = define(2000, logrus.InfoLevel, "request answered")
	RequestRefused   = define(2001, logrus.WarnLevel, "request refused without having run")
	RequestUnknown   = define(2002, logrus.WarnLevel, "request ended without an answer; it may have run")
	RequestCancelled = define(2003, logrus.InfoLevel, "caller disconnected before the answer")
	AttemptFailed    = define(2004, logrus.WarnLevel, "endpoint gave no usable answer")
	AttemptHedged    = define(2005, logrus.InfoLevel, "endpoint is slow to answer; request also sent to a second one")
	StreamResumed    = define(2006, logrus.WarnLevel, "stream interrupted; resuming at another endpoint")
	RequestMalformed = define(2007, logrus.InfoLevel, "request is malformed or too large")

	EndpointEndedUnder = define(2008, logrus.WarnLevel, "endpoint ended while it ran a request")
	QuarantineEnded    = define(2009, logrus.InfoLevel, "request is no longer quarantined")
	// CrashNotReported is repeated until the store answers; meanwhile only this process knows of the crash.
	CrashNotReported = define(2010, logrus.WarnLevel, "report of a crash could not be written")
	// CrashReported is logged only for reports that were written late.
	CrashReported = define(2011, logrus.InfoLevel, "reports of crashes written after a delay")
)

// Events of batch jobs: 2100 to 2199.
var (
	JobAccepted    = define(2100, logrus.InfoLevel, "batch job accepted")
	JobNotAccepted = define(2101, logrus.WarnLevel, "batch job not accepted")
	JobNotAdmitted = define(2128, logrus.WarnLevel, "owner has no memory for another batch job")
	JobOwned       = define(2102, logrus.InfoLevel, "this process became the owner of a batch job")
	JobDropped     = define(2103, logrus.InfoLevel, "this process is no longer the owner of a batch job")
	JobFinished    = define(2104, logrus.InfoLevel, "batch job is complete")
	JobEnded       = define(2105, logrus.InfoLevel, "batch job ended by its submitter")
	JobMoved       = define(2106, logrus.InfoLevel, "batch job moved to another owner")
	JobUnreadable  = define(2107, logrus.ErrorLevel, "batch job in the store cannot be read")
	ItemRunEnded   = define(2110, logrus.InfoLevel, "run of an item ended")
	ItemListed     = define(2111, logrus.InfoLevel, "result of an item written")
	ItemScoreLost  = define(2112, logrus.WarnLevel, "scoring call returned no score")
	ResultsDelayed = define(2113, logrus.WarnLevel, "results could not be written")
	JobStays       = define(2117, logrus.WarnLevel, "batch job stays with an owner that does not answer")
	// OwnerNotNotified is harmless: the owner also reads changes of its jobs from the store, and a
	// lost notice that an endpoint loads weights costs a few refused requests.
	OwnerNotNotified = define(2115, logrus.InfoLevel, "owner could not be notified")
	TextsRecovered   = define(2118, logrus.InfoLevel, "partial texts of a batch job recovered")
	TextsStopped     = define(2119, logrus.WarnLevel, "texts of a batch job cannot be written to disk or read from it")
	TextsUnreadable  = define(2120, logrus.WarnLevel, "part of the stored texts of batch jobs cannot be read")
	TextsNotCopied   = define(2121, logrus.InfoLevel, "texts of a batch job could not be copied to the standby")
	StepComplete     = define(2122, logrus.InfoLevel, "step of a trainer is complete")
	ResultsResumed   = define(2123, logrus.InfoLevel, "results are written again")
	StandbyRuns      = define(2125, logrus.WarnLevel, "standby runs the batch job of a lost owner while the store is unreachable")
	StandbyEnded     = define(2126, logrus.InfoLevel, "standby stopped running a batch job")
	OwnerMissing     = define(2127, logrus.WarnLevel, "owner of batch jobs is not registered; its jobs are moved")
	JobsNotMoved     = define(2124, logrus.WarnLevel, "jobs of a lost process could not be moved")
	JobSwept         = define(2116, logrus.InfoLevel, "old batch job removed from the store")
	ReadFailed       = define(2114, logrus.WarnLevel, "results of a batch job could not be read")
)

// Events of a process's view of the fleet: 2200 to 2299.
var (
	StoreLost             = define(2200, logrus.WarnLevel, "platform's store does not answer")
	StoreBack             = define(2201, logrus.InfoLevel, "platform's store answers again")
	DeclarationInForce    = define(2202, logrus.InfoLevel, "declaration in force")
	DeclarationUnreadable = define(2203, logrus.ErrorLevel, "declaration or weight version cannot be read; the previous one stays in force")
	EndpointListed        = define(2204, logrus.InfoLevel, "endpoint listed")
	EndpointLeaving       = define(2205, logrus.InfoLevel, "endpoint is leaving; it gets no new requests")
	EndpointGone          = define(2206, logrus.InfoLevel, "endpoint no longer listed")
	FleetRecordUnreadable = define(2207, logrus.WarnLevel, "record of an endpoint or process cannot be read")
	MemberListed          = define(2208, logrus.InfoLevel, "siskinloom process listed")
	MemberGone            = define(2209, logrus.WarnLevel, "siskinloom process no longer listed")
	MemberRegistered      = define(2210, logrus.InfoLevel, "this process registered itself")
	RegistrationLost      = define(2211, logrus.WarnLevel, "registration of this process expired or was deleted")
	RetireRequested       = define(2212, logrus.InfoLevel, "retirement of this machine requested")
	StoreRelayed          = define(2215, logrus.WarnLevel, "store is reached through another process")
	StoreDirect           = define(2216, logrus.InfoLevel, "store is reached directly again")
	FleetSourceChanged    = define(2214, logrus.InfoLevel, "source of fleet changes selected")
	EndpointsSynced       = define(2217, logrus.InfoLevel, "first list of endpoints applied")
	MembersSynced         = define(2218, logrus.InfoLevel, "first list of siskinloom processes applied")
	KeysChanged           = define(2219, logrus.InfoLevel, "API keys of a customer changed")
	FanoutRoleChanged     = define(2220, logrus.InfoLevel, "role in the distribution of fleet changes selected")
	TreeNotPublished      = define(2221, logrus.WarnLevel, "tree of roots and relays could not be published")
	ListChangesCounted    = define(2222, logrus.InfoLevel, "further changes of the lists of endpoints and processes, counted by kind")
	DeclarationGap        = define(2223, logrus.WarnLevel, "declaration is confirmed again, after longer than the time in which it must be in force")
	// A request that no known route or key allows was answered as not run.
	DeclarationUnconfirmed = define(2224, logrus.WarnLevel, "store could not be asked whether the declaration is the newest one")
	RetireDone             = define(2213, logrus.InfoLevel, "this machine can be retired")
)

// Events of weight orders: 2300 to 2399.
var (
	LeaderAcquired   = define(2300, logrus.InfoLevel, "this process now sends weight orders and usage reports")
	LeaderLost       = define(2301, logrus.WarnLevel, "this process no longer sends weight orders and usage reports")
	VersionAnnounced = define(2302, logrus.InfoLevel, "announced weight version received")
	OrderAnswered    = define(2303, logrus.InfoLevel, "engine answered a weight order")
	OrderFailed      = define(2304, logrus.WarnLevel, "weight order to an engine failed")
	VersionHeld      = define(2305, logrus.WarnLevel, "engines ended while they loaded a weight version; one engine at a time tries it")
)

// Events of usage reports: 2400 to 2499.
var (
	UsageClosed      = define(2400, logrus.InfoLevel, "usage window closed")
	UsageReported    = define(2401, logrus.InfoLevel, "usage window reported")
	UsageNotReported = define(2402, logrus.WarnLevel, "usage report was not accepted; it will be sent again")
	UsageLost        = define(2403, logrus.ErrorLevel, "usage window will not be reported")
	UsageNotSent     = define(2404, logrus.WarnLevel, "usage counts could not be sent to a process")
	UsageUnreadable  = define(2405, logrus.ErrorLevel, "stored usage report cannot be read")
)

// Events of the speeds of endpoints: 2500 to 2509.
var (
	SpeedNotUsed = define(2500, logrus.WarnLevel, "speed reported by another process is not used")
	SpeedChanged = define(2501, logrus.InfoLevel, "speed of an endpoint changed")
	SpeedsUneven = define(2502, logrus.InfoLevel, "speeds of a service's endpoints became uneven or even")
	LoadNotUsed  = define(2503, logrus.WarnLevel, "load reported by another process is not used")
)

// Events of the placement by time: 2510 to 2519.
var (
	ItemMoved        = define(2510, logrus.InfoLevel, "text moved to an engine where it ends sooner")
	FastReportUnused = define(2511, logrus.WarnLevel, "report of fast engines was not used")
)

// Events of requests that are suspected to end endpoints: 2540 to 2549.
var (
	SuspectHeldBack     = define(2540, logrus.WarnLevel, "request under which an endpoint ended is held back")
	QuarantineContested = define(2541, logrus.InfoLevel, "request is no longer quarantined; others ran at the same ends of endpoints")
	EndLearned          = define(2542, logrus.InfoLevel, "another process reported that an endpoint ended under a request")
	EndNotCounted       = define(2543, logrus.InfoLevel, "endpoint ended under a request that was answered shortly before; the end does not count")
	CrashReportUnused   = define(2544, logrus.WarnLevel, "report of another process about an ended endpoint is not used")
	CrashReportNotSent  = define(2545, logrus.WarnLevel, "reports about ended endpoints could not be sent to another process")
	CrashFeedLost       = define(2546, logrus.InfoLevel, "reports about ended endpoints cannot be followed at another process")
)
