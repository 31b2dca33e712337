package engine

// Load is the load report of an engine. Its values may lag behind the state of
// the engine.
type Load struct {
	Incarnation   string `json:"incarnation"`
	Slots         int    `json:"slots"`
	Running       int    `json:"running"`
	Queued        int    `json:"queued"`
	CacheTokens   int64  `json:"cache-tokens"`   // tokens in the prefix cache
	CacheCapacity int64  `json:"cache-capacity"` // maximum of CacheTokens
}

// CacheEvent is a change of the prefix cache of an engine. Sequence numbers
// start at 1 in each incarnation; a gap means that events were lost.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Kind     string `json:"kind"` // stored, evicted, released or imported
	Program  string `json:"program"`
	Tokens   int64  `json:"tokens"` // cached tokens of the program after the event
}

// CacheEvents is a page of cache events.
type CacheEvents struct {
	Incarnation string       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
	Next        int64        `json:"next"` // sequence number to request next
}
