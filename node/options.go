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

// Options holds the dependencies and settings of a Node. Transport, Store, Members
// and Adapters are required; the transport must not have been started.
type Options struct {
	Transport peer.Transport
	Store     store.Store
	Members   Members
	// EntryHostList reports the endpoints that the platform is removing; optional.
	EntryHostList *EntryHostList
	Adapters      Adapters
	Log           zerolog.Logger
	Metrics       *metrics.Set

	// SessionSecrets are the keys for session tokens: the first signs, all verify.
	SessionSecrets [][]byte
	SessionTTL     time.Duration

	// Retention is how long finished requests are kept, MaxKeys the maximum number of
	// records, and AnswerBytes the size of the answer cache.
	Retention   time.Duration
	MaxKeys     int
	AnswerBytes int

	// NoticePeriod is how long a draining node still accepts new requests, so that
	// the load balancer can notice that it is not ready.
	NoticePeriod time.Duration

	Entry     entry.Options
	Scheduler scheduler.Options
	Routing   routing.Options
	// Capacity holds settings, and NewChooser to replace package routing; the node
	// fills in the dependencies.
	Capacity capacity.Options
	// Coordinator makes the node a candidate for coordinator, and keeps requests away
	// from engines that have not loaded the model; nil disables both. It holds
	// settings and the budget for loading models; the node fills in the rest.
	Coordinator *coordinator.Options
	// LengthPredictor predicts the length of answers; nil uses the one of package
	// routing.
	LengthPredictor scheduler.LengthPredictor
}
