package cluster

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamoreline/sycamoreline/cborwire"
	"github.com/sycamoreline/sycamoreline/route"
)

const (
	// tablePartBytes is the size of one part of an encoded table update. A part
	// must arrive within syncTimeout even on a link with little bandwidth left.
	tablePartBytes = 32 << 10
	// maxTableUpdateBytes bounds the encoded updates that a control host keeps.
	maxTableUpdateBytes = 8 << 20
	// maxEarlierRoutes bounds the routes of the earlier tables that a control
	// host keeps to compute deltas, but it keeps at least minEarlierTables.
	maxEarlierRoutes = 20_000
	minEarlierTables = 2
)

// tableUpdate is an encoded route.Delta.
type tableUpdate struct {
	id      uint64 // checksum of data, equal on all control hosts
	base    int64  // 0 for a whole table
	version int64
	data    []byte
}

// tableUpdates encodes the newest routing table, or its difference from an
// earlier one, for the hosts that request it.
type tableUpdates struct {
	mu      sync.Mutex
	earlier []*route.Table // by ascending version
	newest  *route.Table
	encoded []tableUpdate // least recently used first
}

// set records a table of a higher version.
func (u *tableUpdates) set(t *route.Table) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.newest != nil && t.Version <= u.newest.Version {
		return
	}
	if u.newest != nil {
		u.earlier = append(u.earlier, u.newest)
	}
	u.newest = t
	routes := 0
	for _, e := range u.earlier {
		routes += len(e.Routes)
	}
	for len(u.earlier) > minEarlierTables && routes > maxEarlierRoutes {
		routes -= len(u.earlier[0].Routes)
		u.earlier = slices.Delete(u.earlier, 0, 1)
	}
}

// table returns the newest table, or nil without one.
func (u *tableUpdates) table() *route.Table {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.newest
}

// part returns the requested part of an update, or the first part of another
// update if it cannot continue the requested one.
func (u *tableUpdates) part(r tablePartRequest) (tablePartResponse, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.newest == nil {
		return tablePartResponse{}, nil
	}
	e, err := u.find(r)
	if err != nil {
		return tablePartResponse{}, err
	}
	offset := 0
	if e.id == r.Update && r.Offset >= 0 && r.Offset <= len(e.data) {
		offset = r.Offset
	}
	end := min(len(e.data), offset+tablePartBytes)
	return tablePartResponse{Update: e.id, Version: e.version, Size: len(e.data), Offset: offset, Data: e.data[offset:end]}, nil
}

// find returns the requested update if it is still known or its version is, or
// else the update from the requested base to the newest table.
func (u *tableUpdates) find(r tablePartRequest) (tableUpdate, error) {
	from, to := u.lookup(r.Base), u.lookup(r.Version)
	if to == nil {
		to = u.newest
	}
	base := int64(0)
	if from != nil {
		base = from.Version
	}
	i := slices.IndexFunc(u.encoded, func(e tableUpdate) bool { return r.Update != 0 && e.id == r.Update })
	if i < 0 {
		i = slices.IndexFunc(u.encoded, func(e tableUpdate) bool { return e.base == base && e.version == to.Version })
	}
	if i >= 0 {
		e := u.encoded[i]
		u.encoded = append(slices.Delete(u.encoded, i, i+1), e)
		return e, nil
	}
	data, err := cborwire.Marshal(route.Diff(from, to))
	if err != nil {
		return tableUpdate{}, err
	}
	e := tableUpdate{id: xxhash.Sum64(data), base: base, version: to.Version, data: data}
	u.encoded = append(u.encoded, e)
	u.evict()
	return e, nil
}

// lookup returns the table of a version, or nil if it is no longer known.
func (u *tableUpdates) lookup(version int64) *route.Table {
	if version == u.newest.Version {
		return u.newest
	}
	if i := slices.IndexFunc(u.earlier, func(t *route.Table) bool { return t.Version == version }); i >= 0 {
		return u.earlier[i]
	}
	return nil
}

// evict removes the least recently used updates above maxTableUpdateBytes.
func (u *tableUpdates) evict() {
	total := 0
	for _, e := range u.encoded {
		total += len(e.data)
	}
	for len(u.encoded) > 1 && total > maxTableUpdateBytes {
		total -= len(u.encoded[0].data)
		u.encoded = slices.Delete(u.encoded, 0, 1)
	}
}
