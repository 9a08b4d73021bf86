package poison

import "time"

const (
	// SoundEvents is the number of events after which an answer counts as having got far. Endpoints may send some events of an answer before
	// they end on it.
	SoundEvents = 8
	// maxParts is the number of a prompt's parts that are considered.
	maxParts = 32
	// maxRecords limits the broken answers that a node remembers, maxRecordsPerOrganisation those of one organisation, service and model.
	maxRecords         = 1024
	maxRecordsPerScope = 512
	// recordRetention is how long a broken answer is evidence.
	recordRetention = 10 * time.Minute
	// confirmTimeout is how long a sign that the endpoint has ended may come after the answer broke off.
	confirmTimeout = 5 * time.Second
	// settleTime is the age from which evidence counts: by then that of the other nodes on the same end is there.
	settleTime = 250 * time.Millisecond
	// clockMargin is the uncertainty of the time at which another node saw something.
	clockMargin = 100 * time.Millisecond
	// reportPeriod is how long evidence is included in reports, some of which may be lost.
	reportPeriod = 2 * time.Second
	// maxReported limits each kind of evidence in a report.
	maxReported = 32
	// clearedRetention is how long it is remembered that a part was cleared: longer than evidence is on its way. maxCleared limits these parts.
	clearedRetention = 5 * time.Second
	maxCleared       = 4096
	// provenRetention is how long it is remembered that an answer got far on a part, maxProven limits these parts.
	provenRetention = time.Hour
	maxProven       = 8192
	// countPeriod is the time over which requests are counted by their parts, of which the last two periods hold. maxCounted limits the parts,
	// maxCountedPerScope those of one organisation, service and model.
	countPeriod        = 30 * time.Second
	maxCounted         = 8192
	maxCountedPerScope = 1024
	// warmUp is the time after the start in which a node leaves the evaluation to the others: it does not know yet which parts are sound.
	warmUp = 3 * time.Second
	// maxAnswered limits the endpoints of which it is remembered when they last answered.
	maxAnswered = 4096
	// judgeInterval is the time between two evaluations of the evidence.
	judgeInterval = 100 * time.Millisecond

	// maxDoubt is the probability of the evidence, if the part is innocent, below which it is identified: just above that of minEnds ends at
	// minHitProbability.
	maxDoubt = 1.001e-6
	// minHitProbability and maxHitProbability bound the probability that an end without relation to a part meets a request that has it.
	minHitProbability = 0.01
	maxHitProbability = 0.95
	// exposure is how long a request is at an endpoint before its answer has got far; longer than most, so that the probability isn't
	// underestimated.
	exposure = time.Second
	// rateWindow is the least time over which the rate of ends is computed.
	rateWindow = 10 * time.Second
	// sameEndTime is the time within which several endpoints may end by one cause, such as a fault of their host.
	sameEndTime = 100 * time.Millisecond
	// minEnds is the least number of ends that can identify a part.
	minEnds = 3
	// minEndsIfProven is that number if answers have got far on the part before.
	minEndsIfProven = 8
	// minRequests is the least number of requests that must have broken off.
	minRequests = 2
	// ambiguousEnds is the number of ends from which parts of different requests are identified although each was at all of them.
	ambiguousEnds = 6

	// maxVerdicts limits the identifications, maxVerdictsPerScope those of one organisation, service and model.
	maxVerdicts         = 64
	maxVerdictsPerScope = 8
	// maxVerdictParts limits the parts that are identified together.
	maxVerdictParts = 8
	// retention is how long an identification stays in force after the last request that it refused.
	retention = 24 * time.Hour
	// refreshInterval is the least time between two extensions of an identification.
	refreshInterval = time.Minute
	// tombstoneRetention is how long a cleared identification is remembered, so that a peer's copy does not bring it back.
	tombstoneRetention = 10 * time.Minute
)
