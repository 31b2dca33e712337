package engine

// Load is the load report of an engine. It shows the engine as it was some
// time ago.
type Load struct {
	Incarnation   string `json:"incarnation"`
	Slots         int    `json:"slots"`
	Running       int    `json:"running"`
	Queued        int    `json:"queued"`
	CacheTokens   int64  `json:"cache-tokens"`   // in use
	CacheCapacity int64  `json:"cache-capacity"` // tokens
}

// CacheEvent is one change of an engine's prefix cache. Sequence numbers count
// from 1 in each incarnation, without gaps unless events were lost.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Kind     string `json:"kind"` // stored, evicted, released or imported
	Program  string `json:"program"`
	Tokens   int64  `json:"tokens"` // that the program holds after the event
}

// CacheEvents is a page of cache events.
type CacheEvents struct {
	Incarnation string       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
	Next        int64        `json:"next"` // sequence number to ask for next
}
