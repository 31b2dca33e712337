package forward

import (
	"container/list"
	"sync"
)

// link is a cached turn of a conversation, linked to the turn before it.
type link struct {
	previous *link
	text     []byte // input and output of the turn, or a whole conversation fetched from the ledger
	bytes    int    // length of the conversation up to and including this link
}

// chainCache is an LRU cache of the conversations of turns that this host has
// served, so that they needn't be fetched for the next turn. It isn't
// authoritative: the ledger decides whether a turn exists.
type chainCache struct {
	mu       sync.Mutex
	maxBytes int
	bytes    int // size of all cached texts
	byTurn   map[string]*list.Element
	lru      *list.List // of *chainEntry, least recently used first
}

type chainEntry struct {
	turn string
	link *link
}

func newChainCache(maxBytes int) *chainCache {
	return &chainCache{maxBytes: maxBytes, byTurn: map[string]*list.Element{}, lru: list.New()}
}

// get returns the conversation up to and including a turn.
func (c *chainCache) get(turn string) (*link, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.byTurn[turn]
	if !ok {
		return nil, false
	}
	c.lru.MoveToBack(e)
	return e.Value.(*chainEntry).link, true
}

// put returns the link of a turn that continues a conversation, or begins one if
// previous is nil. It caches the link unless the turn is already cached or its
// text exceeds the size of the cache. An evicted turn stays in memory while a
// later turn of its conversation is cached.
func (c *chainCache) put(turn string, previous *link, text []byte) *link {
	l := &link{previous: previous, text: text, bytes: len(text)}
	if previous != nil {
		l.bytes += previous.bytes
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.byTurn[turn]; ok || len(text) > c.maxBytes {
		return l
	}
	c.byTurn[turn] = c.lru.PushBack(&chainEntry{turn, l})
	c.bytes += len(text)
	for c.bytes > c.maxBytes {
		e := c.lru.Remove(c.lru.Front()).(*chainEntry)
		delete(c.byTurn, e.turn)
		c.bytes -= len(e.link.text)
	}
	return l
}

// body returns the conversation followed by the input of the next turn.
func (l *link) body(input []byte) []byte {
	if l == nil {
		return input
	}
	out := make([]byte, l.bytes+len(input))
	end := len(out) - copy(out[l.bytes:], input)
	for at := l; at != nil; at = at.previous {
		end -= len(at.text)
		copy(out[end:], at.text)
	}
	return out
}
