package schedule

import (
	"slices"
	"time"
)

// cache is what this host believes a server has in its prefix cache: the
// programs in order of last use, least recently first.
type cache struct {
	entries     map[string]*cacheEntry
	head, tail  *cacheEntry
	spare       *cacheEntry
	used, limit int64 // tokens; a limit of 0 means unknown
}

// maxCacheEntries bounds the beliefs about one server, which include programs
// with nothing left in the cache.
const maxCacheEntries = 4096

type cacheEntry struct {
	program    string
	tokens     int
	shrunk     bool // evicted from since the last call here
	prev, next *cacheEntry
}

// tokens returns the believed cached tokens of a program, and whether an
// eviction was reported since its last call from this host.
func (k *cache) tokens(program string) (n int, shrunk bool) {
	e := k.entries[program]
	if e == nil {
		return 0, false
	}
	return e.tokens, e.shrunk
}

// set records that the program has tokens cached and was used last.
func (k *cache) set(program string, tokens int) {
	e := k.entries[program]
	if e != nil {
		k.unlink(e)
		k.used -= int64(e.tokens)
	} else {
		e = k.allocate(program)
	}
	e.tokens, e.shrunk = tokens, false
	k.used += int64(tokens)
	k.link(e)
	for k.head != e && (len(k.entries) > maxCacheEntries || (k.limit > 0 && k.used > k.limit)) {
		k.drop(k.head)
	}
}

// evicted records that the server dropped tokens of a program.
func (k *cache) evicted(program string, tokens int) {
	e := k.entries[program]
	if e == nil {
		return
	}
	lost := min(tokens, e.tokens)
	e.tokens -= lost
	e.shrunk = true
	k.used -= int64(lost)
}

func (k *cache) forget(program string) {
	if e := k.entries[program]; e != nil {
		k.drop(e)
	}
}

func (k *cache) allocate(program string) *cacheEntry {
	e := k.spare
	if e != nil {
		k.spare = e.next
		e.next = nil
	} else {
		e = &cacheEntry{}
	}
	if k.entries == nil {
		k.entries = map[string]*cacheEntry{}
	}
	e.program = program
	k.entries[program] = e
	return e
}

func (k *cache) drop(e *cacheEntry) {
	k.unlink(e)
	k.used -= int64(e.tokens)
	delete(k.entries, e.program)
	*e = cacheEntry{next: k.spare}
	k.spare = e
}

func (k *cache) link(e *cacheEntry) {
	e.prev, e.next = k.tail, nil
	if k.tail != nil {
		k.tail.next = e
	} else {
		k.head = e
	}
	k.tail = e
}

func (k *cache) unlink(e *cacheEntry) {
	if e.prev != nil {
		e.prev.next = e.next
	} else {
		k.head = e.next
	}
	if e.next != nil {
		e.next.prev = e.prev
	} else {
		k.tail = e.prev
	}
	e.prev, e.next = nil, nil
}

// CacheEvicted reports that a server dropped cached tokens of a program.
func (s *Scheduler) CacheEvicted(now time.Duration, server, program string, tokens int) {
	s.advance(now)
	if v := s.servers[server]; v != nil {
		v.cache.evicted(program, tokens)
	}
}

// CacheStored reports that a server holds tokens of a program in its cache.
func (s *Scheduler) CacheStored(now time.Duration, server, program string, tokens int) {
	s.advance(now)
	if v := s.servers[server]; v != nil {
		s.believe(v, program, tokens)
	}
}

// CacheOrders returns the orders about the caches of programs, each once. A
// lost order costs memory until the engine evicts, not correctness.
func (s *Scheduler) CacheOrders(now time.Duration) []CacheOrder {
	s.advance(now)
	out := s.cacheOrders
	s.cacheOrders = nil
	return out
}

// believe records the cached tokens of a program after a call, and where to
// forget them when the program ends.
func (s *Scheduler) believe(v *server, id string, tokens int) {
	v.cache.set(id, tokens)
	p := s.programs[id]
	if p == nil {
		return
	}
	if slices.Contains(p.cachedOn, v) {
		return
	}
	if len(p.cachedOn) == maxCopies {
		s.orderDrop(p.cachedOn[0], id)
		p.cachedOn = slices.Delete(p.cachedOn, 0, 1)
	}
	p.cachedOn = append(p.cachedOn, v)
}

// maxCacheOrders bounds the orders that wait for the driver. Engines evict by
// themselves, so that surplus orders can be lost.
const maxCacheOrders = 4096

// maxCopies bounds the servers that keep the prefix of one program; the oldest
// copy is dropped.
const maxCopies = 4

func (s *Scheduler) orderDrop(v *server, id string) {
	v.cache.forget(id)
	if !v.removed && len(s.cacheOrders) < maxCacheOrders {
		s.cacheOrders = append(s.cacheOrders, CacheOrder{Server: v.ID, Program: id, Action: Drop})
	}
}

// dropAll orders the servers to free the memory of an ended program.
func (s *Scheduler) dropAll(p *program, id string) {
	for _, v := range p.cachedOn {
		s.orderDrop(v, id)
	}
}
