package forward

import (
	"container/list"
	"sync"
)

// link is a cached turn of a conversation, linked to the turn before it.
type link struct {
	before *link
	text   []byte // input and output of the turn, or a whole conversation fetched from the ledger
	bytes  int    // length of the conversation up to this link
}

// chains is an LRU cache of the conversations of turns that this host has
// served, so that they needn't be fetched for the next turn. It isn't
// authoritative: the ledger decides whether a turn exists.
type chains struct {
	mu       sync.Mutex
	limit    int // maximum of held
	held     int // bytes of text in the cache
	byTurn   map[string]*list.Element
	oldFirst *list.List // of *chainEntry, least recently used first
}

type chainEntry struct {
	turn string
	link *link
}

func newChains(limit int) *chains {
	return &chains{limit: limit, byTurn: map[string]*list.Element{}, oldFirst: list.New()}
}

// get returns the conversation up to and including a turn.
func (c *chains) get(turn string) (*link, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.byTurn[turn]
	if !ok {
		return nil, false
	}
	c.oldFirst.MoveToBack(e)
	return e.Value.(*chainEntry).link, true
}

// put caches a turn that continues a conversation, or begins one if previous is
// nil. An evicted turn stays in memory while a later turn of its conversation is
// cached.
func (c *chains) put(turn string, previous *link, text []byte) *link {
	l := &link{before: previous, text: text, bytes: len(text)}
	if previous != nil {
		l.bytes += previous.bytes
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.byTurn[turn]; ok || len(text) > c.limit {
		return l
	}
	c.byTurn[turn] = c.oldFirst.PushBack(&chainEntry{turn, l})
	c.held += len(text)
	for c.held > c.limit {
		e := c.oldFirst.Remove(c.oldFirst.Front()).(*chainEntry)
		delete(c.byTurn, e.turn)
		c.held -= len(e.link.text)
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
	for at := l; at != nil; at = at.before {
		end -= len(at.text)
		copy(out[end:], at.text)
	}
	return out
}
