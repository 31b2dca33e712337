package cluster

import (
	"cmp"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamoreline/sycamoreline/cborwire"
	"github.com/sycamoreline/sycamoreline/route"
)

const (
	// maxTablePartTimeout bounds the timeout of a request, which starts at
	// syncTimeout and doubles after each failure.
	maxTablePartTimeout = 4 * syncTimeout
	// maxTableBytes bounds an encoded table update.
	maxTableBytes = 64 << 20
)

// tableFetch decides which part of which table update an entry host requests
// next, and from which control host. It requests one part at a time and keeps
// the parts that have arrived when a request fails. An update that has begun is
// completed even if the table changes meanwhile; otherwise, frequent changes
// could keep every version from arriving. It is not safe for concurrent use.
type tableFetch struct {
	self     string
	version  int64        // of the table in force; 0 without one
	base     *route.Table // the table in force; nil to request a whole table
	sources  map[string]*tableSource
	failures int // consecutive

	// The update being fetched.
	update        uint64 // 0 for none
	updateVersion int64
	data          []byte // the parts that have arrived
}

// tableSource is a control host that offers a table.
type tableSource struct {
	version  int64
	local    bool // in the same data centre
	failures int  // since its last part
}

func newTableFetch(self string) *tableFetch {
	return &tableFetch{self: self, sources: map[string]*tableSource{}}
}

// offer records the version that a control host has. It returns whether that
// is newer than the table in force.
func (f *tableFetch) offer(host string, version int64, local bool) bool {
	s := f.sources[host]
	if s == nil {
		s = &tableSource{}
		f.sources[host] = s
	}
	s.version, s.local = version, local
	return version > f.version
}

// withdraw removes a control host that does not answer.
func (f *tableFetch) withdraw(host string) { delete(f.sources, host) }

// next returns the next request and its destination, and false if no control
// host offers a newer table.
func (f *tableFetch) next() (host string, r tablePartRequest, ok bool) {
	minVersion := f.version + 1
	if f.update != 0 {
		// Control hosts that have not seen the version cannot continue its update.
		minVersion = max(minVersion, f.updateVersion)
	}
	host = f.source(minVersion)
	if host == "" && minVersion > f.version+1 {
		host = f.source(f.version + 1)
	}
	r = tablePartRequest{Update: f.update, Version: f.updateVersion, Offset: len(f.data)}
	if f.base != nil {
		r.Base = f.version
	}
	return host, r, host != ""
}

// source returns the control host to request a version from, or an empty string
// if none has it: the one with the fewest failures, preferably of the same data
// centre. Entry hosts differ in their choice among the others.
func (f *tableFetch) source(minVersion int64) string {
	best := ""
	for id, s := range f.sources {
		if s.version < minVersion {
			continue
		}
		if best == "" || f.compare(id, best) < 0 {
			best = id
		}
	}
	return best
}

func (f *tableFetch) compare(a, b string) int {
	x, y := f.sources[a], f.sources[b]
	switch {
	case x.failures != y.failures:
		return cmp.Compare(x.failures, y.failures)
	case x.local != y.local && x.local:
		return -1
	case x.local != y.local:
		return 1
	default:
		return cmp.Compare(xxhash.Sum64String(f.self+a), xxhash.Sum64String(f.self+b))
	}
}

// timeout returns the timeout of the next request.
func (f *tableFetch) timeout() time.Duration {
	return min(maxTablePartTimeout, syncTimeout<<min(f.failures, 8))
}

// failed records that a request to a control host has failed.
func (f *tableFetch) failed(host string) {
	f.failures++
	if s := f.sources[host]; s != nil {
		s.failures++
	}
}

// receive records a part. It returns the table once the update is complete, and
// an error if the part or the update is unusable.
func (f *tableFetch) receive(host string, p tablePartResponse) (*route.Table, error) {
	if p.Update != f.update || p.Offset == 0 {
		f.reset()
	}
	if p.Update == 0 || p.Version <= f.version || p.Offset != len(f.data) || p.Size > maxTableBytes {
		f.reset()
		f.failed(host)
		return nil, fmt.Errorf("part of table version %d at offset %d cannot be used", p.Version, p.Offset)
	}
	f.update, f.updateVersion = p.Update, p.Version
	f.data = append(f.data, p.Data...)
	if len(f.data) < p.Size && len(p.Data) > 0 {
		f.succeeded(host)
		return nil, nil
	}
	data := f.data
	f.reset()
	t, err := f.decode(p, data)
	if err != nil {
		f.base = nil
		f.failed(host)
		return nil, fmt.Errorf("update to table version %d: %w", p.Version, err)
	}
	f.succeeded(host)
	f.base, f.version = t, t.Version
	return t, nil
}

func (f *tableFetch) succeeded(host string) {
	f.failures = 0
	if s := f.sources[host]; s != nil {
		s.failures = 0
	}
}

// reset discards the update being fetched.
func (f *tableFetch) reset() { f.update, f.updateVersion, f.data = 0, 0, nil }

func (f *tableFetch) decode(p tablePartResponse, data []byte) (*route.Table, error) {
	if len(data) != p.Size || xxhash.Sum64(data) != p.Update {
		return nil, fmt.Errorf("%d bytes with checksum %x: want %d with %x", len(data), xxhash.Sum64(data), p.Size, p.Update)
	}
	var d route.Delta
	if err := cborwire.Unmarshal(data, &d); err != nil {
		return nil, err
	}
	return route.Patch(f.base, d)
}
