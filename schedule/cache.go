package schedule

import (
	"slices"
	"time"
)

// cacheEstimate is the estimated content of the prefix cache of a server. The
// programs are linked in order of last use, least recently used first.
type cacheEstimate struct {
	entries     map[string]*cacheEntry
	head, tail  *cacheEntry
	freeEntries *cacheEntry
	used, limit int64 // tokens; a limit of 0 means that it is unknown
}

// maxCacheEntries limits the entries per server, which include programs that
// have no tokens left in the cache.
const maxCacheEntries = 4096

type cacheEntry struct {
	program    string
	tokens     int
	shrunk     bool // tokens were evicted since the entry was last set
	prev, next *cacheEntry
}

// cachedTokens returns the estimated number of cached tokens of a program, and
// whether an eviction was reported since the number was last set.
func (k *cacheEstimate) cachedTokens(program string) (n int, shrunk bool) {
	e := k.entries[program]
	if e == nil {
		return 0, false
	}
	return e.tokens, e.shrunk
}

// set records the cached tokens of a program and makes it the most recently
// used one. It removes the least recently used entries of other programs until
// the rest is within the limits.
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

// recordEviction records that the server has evicted tokens of a program.
func (k *cacheEstimate) recordEviction(program string, tokens int) {
	e := k.entries[program]
	if e == nil {
		return
	}
	evicted := min(tokens, e.tokens)
	e.tokens -= evicted
	e.shrunk = true
	k.used -= int64(evicted)
}

func (k *cacheEstimate) remove(program string) {
	if e := k.entries[program]; e != nil {
		k.removeEntry(e)
	}
}

func (k *cacheEstimate) allocate(program string) *cacheEntry {
	e := k.freeEntries
	if e != nil {
		k.freeEntries = e.next
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
	*e = cacheEntry{next: k.freeEntries}
	k.freeEntries = e
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

// CacheEvicted reports that a server has evicted cached tokens of a program.
func (s *Scheduler) CacheEvicted(now time.Duration, server, program string, tokens int) {
	s.advance(now)
	if v := s.servers[server]; v != nil {
		v.cache.recordEviction(program, tokens)
	}
}

// CacheStored reports that a server has tokens of a program in its cache.
func (s *Scheduler) CacheStored(now time.Duration, server, program string, tokens int) {
	s.advance(now)
	if v := s.servers[server]; v != nil {
		s.recordCached(v, program, tokens)
	}
}

// CacheReleases returns the cached prefixes to be released, each once. If a
// release is lost, the prefix only occupies memory until the engine evicts it.
func (s *Scheduler) CacheReleases(now time.Duration) []CacheRelease {
	s.advance(now)
	out := s.cacheReleases
	s.cacheReleases = nil
	return out
}

// recordCached records that a server has cached tokens of a program, so that
// they can be released when the program ends.
func (s *Scheduler) recordCached(v *server, programID string, tokens int) {
	v.cache.set(programID, tokens)
	p := s.programs[programID]
	if p == nil {
		return
	}
	if slices.Contains(p.cachedOn, v) {
		return
	}
	if len(p.cachedOn) == maxCachedServers {
		s.releaseCached(p.cachedOn[0], programID)
		p.cachedOn = slices.Delete(p.cachedOn, 0, 1)
	}
	p.cachedOn = append(p.cachedOn, v)
}

// maxCacheReleases limits the releases that wait for the driver. Surplus ones
// are discarded, since engines evict unused prefixes by themselves.
const maxCacheReleases = 4096

// maxCachedServers limits the servers that cache the prefix of one program.
// Above it, the oldest copy is released.
const maxCachedServers = 4

func (s *Scheduler) releaseCached(v *server, programID string) {
	v.cache.remove(programID)
	if !v.removed && len(s.cacheReleases) < maxCacheReleases {
		s.cacheReleases = append(s.cacheReleases, CacheRelease{Server: v.ID, Program: programID})
	}
}

// releaseAllCached releases the prefix of an ended program on all servers.
func (s *Scheduler) releaseAllCached(p *program, programID string) {
	for _, v := range p.cachedOn {
		s.releaseCached(v, programID)
	}
}
