package dispatch

import (
	"container/list"
	"context"
	"sync"

	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// historyCacheMessages limits the number of messages in an entry host's history
// cache.
const historyCacheMessages = 50_000

// historyCache is an LRU cache of program histories. Since histories are
// append-only, a cached history is a prefix of the recorded one, and only the
// rest has to be fetched.
type historyCache struct {
	mu          sync.Mutex
	maxMessages int
	messages    int
	programs    map[string]*list.Element
	lru         *list.List // of *cachedHistory, most recently used first
}

type cachedHistory struct {
	program  string
	messages []ledger.Message
}

func newHistoryCache(maxMessages int) *historyCache {
	return &historyCache{maxMessages: maxMessages, programs: make(map[string]*list.Element), lru: list.New()}
}

func (h *historyCache) get(program string) []ledger.Message {
	h.mu.Lock()
	defer h.mu.Unlock()
	e, ok := h.programs[program]
	if !ok {
		return nil
	}
	h.lru.MoveToFront(e)
	return e.Value.(*cachedHistory).messages
}

// put stores a history unless a longer one is cached. It evicts the least
// recently used histories while the cache exceeds maxMessages, but keeps at least
// one history.
func (h *historyCache) put(program string, messages []ledger.Message) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e, ok := h.programs[program]
	if !ok {
		e = h.lru.PushFront(&cachedHistory{program: program})
		h.programs[program] = e
	}
	v := e.Value.(*cachedHistory)
	if len(messages) > len(v.messages) {
		h.messages += len(messages) - len(v.messages)
		v.messages = messages
	}
	for h.messages > h.maxMessages && h.lru.Len() > 1 {
		h.removeElement(h.lru.Back())
	}
}

func (h *historyCache) remove(program string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e, ok := h.programs[program]; ok {
		h.removeElement(e)
	}
}

func (h *historyCache) removeElement(e *list.Element) {
	v := e.Value.(*cachedHistory)
	h.messages -= len(v.messages)
	delete(h.programs, v.program)
	h.lru.Remove(e)
}

// fetchHistory returns a program's complete history.
func (d *Dispatcher) fetchHistory(ctx context.Context, team, program string) ([]ledger.Message, error) {
	cached := d.historyCache.get(program)
	rest, err := d.ledger.History(ctx, ledger.HistoryQuery{Program: program, Team: team, From: len(cached)})
	if err != nil {
		return nil, err
	}
	all := append(cached[:len(cached):len(cached)], rest...)
	d.historyCache.put(program, all)
	return all, nil
}

// newMessages returns the messages that a request adds to the history. A request
// with the whole conversation must begin with the recorded history.
func newMessages(m ModelCall, recorded []ledger.Message) ([]ledger.Message, error) {
	if !m.WholeConversation {
		return m.Messages, nil
	}
	if len(m.Messages) < len(recorded) {
		return nil, historyMismatch(len(m.Messages))
	}
	for i, r := range recorded {
		if m.Messages[i] != r {
			return nil, historyMismatch(i)
		}
	}
	return m.Messages[len(recorded):], nil
}

func historyMismatch(at int) error {
	return verdict.Newf(verdict.MayHaveRun, verdict.BadRequest,
		"messages: message %d does not continue the program's history; read it at /v1/programs/{id}/history", at)
}
