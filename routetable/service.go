package routetable

// Service is a set of interchangeable endpoints.
type Service struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// MaxConnections bounds the connections from all nodes to one endpoint; 0 means no bound.
	MaxConnections int
	// Engine is true for model engines, whose answers are streams of tokens.
	Engine bool
	// EventTokens is the number of tokens in an event of a stream of an engine; 0 if unknown.
	EventTokens int
	// CacheTokens is the size of the KV cache of an engine in tokens; 0 if unknown.
	CacheTokens int
}
