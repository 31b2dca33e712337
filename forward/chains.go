package forward

import (
	"container/list"
	"sync"
)

// link is a turn that this host has seen, and the turns before it.
type link struct {
	previous *link
	text   []byte // input and output; of a fetched conversation, all of it
	bytes  int    // of this link and all before it
}

// chainCache remembers the conversations of turns that came through this host, so
// that they need not be fetched for the next turn. Whether a turn exists is
// still asked of the ledger.
type chainCache struct {
	mu       sync.Mutex
	maxBytes    int
	bytes     int // bytes
	byTurn   map[string]*list.Element
	lru *list.List // of *chainEntry
}

type chainEntry struct {
	turn string
	link *link
}

func newChainCache(limit int) *chainCache {
	return &chainCache{maxBytes: limit, byTurn: map[string]*list.Element{}, lru: list.New()}
}

// get returns the conversation up to a turn.
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

// put remembers a turn that continues another one, or begins a conversation if
// previous is nil. A part that was evicted may stay in memory for as long as a
// later turn of its conversation is remembered.
func (c *chainCache) put(turn string, before *link, text []byte) *link {
	l := &link{previous: before, text: text, bytes: len(text)}
	if before != nil {
		l.bytes += before.bytes
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

// body returns the conversation followed by an input.
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
