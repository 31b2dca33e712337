package engine

import (
	"container/list"
	"encoding/binary"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamoreline/sycamoreline/ledger"
)

// block is one message of a cached prefix. The hash covers the model and all
// messages up to and including this one.
type block struct {
	Hash   uint64 `json:"hash"`
	Tokens int64  `json:"tokens"`
}

func prefixBlocks(model string, messages []ledger.Message) []block {
	blocks := make([]block, 0, len(messages))
	hash := xxhash.Sum64String(model)
	for _, m := range messages {
		text := binary.LittleEndian.AppendUint64(nil, hash)
		text = append(text, m.Role+"\x00"+m.Content...)
		hash = xxhash.Sum64(text)
		blocks = append(blocks, block{Hash: hash, Tokens: messageTokens(m)})
	}
	return blocks
}

func blockTokens(blocks []block) int64 {
	var n int64
	for _, b := range blocks {
		n += b.Tokens
	}
	return n
}

// cacheEntry is the cached prefix of one program. It is empty until a call of
// the program has ended or a prefix has been imported.
type cacheEntry struct {
	program        string
	blocks         []block
	tokens         int64
	calls          int  // running calls that use the entry
	pinned         bool // not evicted before it is released
	releasePending bool // removed when the last call ends
	element        *list.Element
}

// prefixCache is the prefix cache of a stand-in engine. The least recently
// used prefix that is neither pinned nor in use is evicted first.
type prefixCache struct {
	mu       sync.Mutex
	capacity int64
	used     int64
	entries  map[string]*cacheEntry
	lru      *list.List // of *cacheEntry, most recent first
	events   *cacheLog
}

func newPrefixCache(capacity int64, events *cacheLog) *prefixCache {
	return &prefixCache{capacity: capacity, entries: map[string]*cacheEntry{}, lru: list.New(), events: events}
}

// begin returns the number of prompt blocks that are cached, and protects the
// entry of the program from eviction until end is called.
func (c *prefixCache) begin(program string, prompt []block) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entry(program)
	e.calls++
	c.lru.MoveToFront(e.element)
	return commonPrefix(e.blocks, prompt)
}

func (c *prefixCache) entry(program string) *cacheEntry {
	e, ok := c.entries[program]
	if !ok {
		e = &cacheEntry{program: program}
		e.element = c.lru.PushFront(e)
		c.entries[program] = e
	}
	return e
}

func commonPrefix(a, b []block) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

// end ends a call and caches as much of its conversation as fits.
func (c *prefixCache) end(program string, conversation []block) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entries[program]
	e.calls--
	if e.releasePending {
		c.removeIfUnused(e, "released")
		return
	}
	c.store(e, conversation, "stored")
}

// store replaces the blocks of an entry with as many of the given ones as fit
// after evicting other entries.
func (c *prefixCache) store(e *cacheEntry, blocks []block, kind string) {
	c.used -= e.tokens
	e.blocks, e.tokens = nil, 0
	need := blockTokens(blocks)
	c.evict(c.capacity-need, e)
	for _, b := range blocks {
		if c.used+b.Tokens > c.capacity {
			break
		}
		e.blocks = append(e.blocks, b)
		e.tokens += b.Tokens
		c.used += b.Tokens
	}
	c.events.add(kind, e.program, e.tokens)
	if len(e.blocks) == 0 {
		c.removeIfUnused(e, "")
	}
}

// evict removes unused entries other than keep, least recently used first,
// until at most limit tokens are in use.
func (c *prefixCache) evict(limit int64, keep *cacheEntry) {
	for element := c.lru.Back(); element != nil && c.used > limit; {
		e := element.Value.(*cacheEntry)
		element = element.Prev()
		if e != keep && e.calls == 0 && !e.pinned {
			c.remove(e)
			c.events.add("evicted", e.program, 0)
		}
	}
}

// removeIfUnused removes an entry unless it is pinned or a call uses it. It
// records a cache event unless kind is empty.
func (c *prefixCache) removeIfUnused(e *cacheEntry, kind string) {
	if e.calls > 0 || e.pinned {
		return
	}
	c.remove(e)
	if kind != "" {
		c.events.add(kind, e.program, 0)
	}
}

func (c *prefixCache) remove(e *cacheEntry) {
	c.used -= e.tokens
	c.lru.Remove(e.element)
	delete(c.entries, e.program)
}

// pin protects the entry of a program from eviction until it is released. It
// returns false if there is no entry or its release is pending.
func (c *prefixCache) pin(program string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.entries[program]
	if !ok || e.releasePending {
		return false
	}
	e.pinned = true
	return true
}

// release removes the prefix of a program, or marks it to be removed when the
// last call that uses it ends. It returns the number of tokens that were cached.
func (c *prefixCache) release(program string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.entries[program]
	if !ok {
		return 0
	}
	tokens := e.tokens
	e.pinned, e.releasePending = false, true
	c.removeIfUnused(e, "released")
	return tokens
}

func (c *prefixCache) export(program string) ([]block, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.entries[program]
	if !ok || len(e.blocks) == 0 {
		return nil, false
	}
	return slices.Clone(e.blocks), true
}

// importBlocks stores an exported prefix and returns the number of tokens that
// fit.
func (c *prefixCache) importBlocks(program string, blocks []block) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entry(program)
	c.store(e, blocks, "imported")
	return e.tokens
}

func (c *prefixCache) tokens() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.used
}

// programs returns the sorted ids of the programs with a cached or pinned
// prefix.
func (c *prefixCache) programs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []string
	for id, e := range c.entries {
		if e.tokens > 0 || e.pinned {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
