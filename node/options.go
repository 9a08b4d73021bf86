package node

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/coordinator"
	"hawthornrill.example/hawthornrill/entry"
	"hawthornrill.example/hawthornrill/peer"
	"hawthornrill.example/hawthornrill/routing"
	"hawthornrill.example/hawthornrill/scheduler"
	"hawthornrill.example/hawthornrill/store"
)

// Options are the seams and numbers of a Node. Transport, Store, Members and
// Adapters are required; the transport must not have started.
type Options struct {
	Transport peer.Transport
	Store     store.Store
	Members   Members
	// EntryHostList tells which endpoints the platform takes away; nil for none.
	EntryHostList *EntryHostList
	Adapters      Adapters
	Log           zerolog.Logger
	Metrics       *metrics.Set

	// SessionSecrets sign session tokens, the first; all verify.
	SessionSecrets [][]byte
	SessionTTL     time.Duration

	// Retention is how long finished requests are remembered, MaxKeys how many, and
	// AnswerBytes how much of their answers.
	Retention   time.Duration
	MaxKeys     int
	AnswerBytes int

	// NoticePeriod is how long a draining node still serves what is new, for the
	// balancer to notice.
	NoticePeriod time.Duration

	Entry     entry.Options
	Scheduler scheduler.Options
	Routing   routing.Options
	// Capacity holds numbers, and NewChooser if the node is not to use package
	// routing; the parts are filled in by the node.
	Capacity capacity.Options
	// Coordinator makes the node a candidate for giving engines their orders, and
	// keeps requests from engines that have not loaded the model; nil for neither.
	// It holds numbers and Weights; the other parts are filled in by the node.
	Coordinator *coordinator.Options
	// Lengths predicts the lengths of answers; nil for a routing.LengthPredictor.
	LengthPredictor scheduler.LengthPredictor
}
