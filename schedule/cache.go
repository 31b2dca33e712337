package schedule

import (
	"slices"
	"time"
)

// cacheEstimate is what this host believes a server has in its prefix cache: the
// programs in order of last use, least recently first.
type cacheEstimate struct {
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
func (k *cacheEstimate) tokens(program string) (n int, shrunk bool) {
	e := k.entries[program]
	if e == nil {
		return 0, false
	}
	return e.tokens, e.shrunk
}

// set records that the program has tokens cached and was used last.
func (k *cacheEstimate) set(program string, tokens int) {
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
		k.removeEntry(k.head)
	}
}

// recordEviction records that the server dropped tokens of a program.
func (k *cacheEstimate) recordEviction(program string, tokens int) {
	e := k.entries[program]
	if e == nil {
		return
	}
	lost := min(tokens, e.tokens)
	e.tokens -= lost
	e.shrunk = true
	k.used -= int64(lost)
}

func (k *cacheEstimate) remove(program string) {
	if e := k.entries[program]; e != nil {
		k.removeEntry(e)
	}
}

func (k *cacheEstimate) allocate(program string) *cacheEntry {
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

func (k *cacheEstimate) removeEntry(e *cacheEntry) {
	k.unlink(e)
	k.used -= int64(e.tokens)
	delete(k.entries, e.program)
	*e = cacheEntry{next: k.spare}
	k.spare = e
}

func (k *cacheEstimate) link(e *cacheEntry) {
	e.prev, e.next = k.tail, nil
	if k.tail != nil {
		k.tail.next = e
	} else {
		k.head = e
	}
	k.tail = e
}

func (k *cacheEstimate) unlink(e *cacheEntry) {
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
		v.cache.recordEviction(program, tokens)
	}
}

// CacheStored reports that a server holds tokens of a program in its cache.
func (s *Scheduler) CacheStored(now time.Duration, server, program string, tokens int) {
	s.advance(now)
	if v := s.servers[server]; v != nil {
		s.recordCached(v, program, tokens)
	}
}

// CacheReleases returns the orders about the caches of programs, each once. A
// lost order costs memory until the engine evicts, not correctness.
func (s *Scheduler) CacheReleases(now time.Duration) []CacheRelease {
	s.advance(now)
	out := s.cacheReleases
	s.cacheReleases = nil
	return out
}

// recordCached records the cached tokens of a program after a call, and where to
// remove them when the program ends.
func (s *Scheduler) recordCached(v *server, id string, tokens int) {
	v.cache.set(id, tokens)
	p := s.programs[id]
	if p == nil {
		return
	}
	if slices.Contains(p.cachedOn, v) {
		return
	}
	if len(p.cachedOn) == maxCachedServers {
		s.releaseCached(p.cachedOn[0], id)
		p.cachedOn = slices.Delete(p.cachedOn, 0, 1)
	}
	p.cachedOn = append(p.cachedOn, v)
}

// maxCacheReleases bounds the orders that wait for the driver. Engines evict by
// themselves, so that surplus orders can be lost.
const maxCacheReleases = 4096

// maxCachedServers bounds the servers that keep the prefix of one program; the oldest
// copy is dropped.
const maxCachedServers = 4

func (s *Scheduler) releaseCached(v *server, id string) {
	v.cache.remove(id)
	if !v.removed && len(s.cacheReleases) < maxCacheReleases {
		s.cacheReleases = append(s.cacheReleases, CacheRelease{Server: v.ID, Program: id})
	}
}

// releaseAllCached orders the servers to free the memory of an ended program.
func (s *Scheduler) releaseAllCached(p *program, id string) {
	for _, v := range p.cachedOn {
		s.releaseCached(v, id)
	}
}
