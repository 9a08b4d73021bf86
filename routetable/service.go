package routetable

// Service is a set of interchangeable endpoints.
type Service struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// MaxConnections bounds the connections to one endpoint from all nodes; 0 is no bound.
	MaxConnections int
	// Engine is true for model engines, whose answers are streams of tokens.
	Engine bool
	// EventTokens is how many tokens an event of an engine's stream holds; 0 if not known.
	EventTokens int
	// CacheTokens is the memory of an engine in tokens; 0 if not known.
	CacheTokens int
}
