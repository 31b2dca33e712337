package cluster

import (
	"context"
	"errors"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/route"
)

// Guards against a confirmation that counts for longer than the limit, also on a
// host that was suspended, and against one of an earlier table.
func TestTableConfirmationCovers(t *testing.T) {
	c := &tableConfirmation{version: 5, at: 10 * time.Second}
	tests := []struct {
		name    string
		c       *tableConfirmation
		version int64
		now     time.Duration
		want    bool
	}{
		{"none yet", nil, 5, 10 * time.Second, false},
		{"recent", c, 5, 12 * time.Second, true},
		{"newer table than confirmed", c, 6, 12 * time.Second, true},
		{"earlier table than confirmed", c, 4, 12 * time.Second, false},
		{"old", c, 5, 12*time.Second + 1, false},
	}
	for _, tt := range tests {
		assert.Equal(t, tt.c.covers(tt.version, tt.now, 2*time.Second), tt.want, tt.name)
	}
}

// Guards against an age that begins after the read, that leaves out a suspension of
// the host, or that is returned although the last read has failed, and against a read
// for each poll.
func TestSharedReadAge(t *testing.T) {
	now := time.Second
	clock := func() time.Duration { return now }
	reads, failure := 0, error(nil)
	read := func(context.Context) error {
		reads++
		now += 20 * time.Millisecond
		return failure
	}
	var s sharedRead
	steps := []struct {
		name    string
		elapsed time.Duration
		failure error
		age     time.Duration
		ok      bool
		reads   int
	}{
		{"first", 0, nil, 20 * time.Millisecond, true, 1},
		{"shared", 50 * time.Millisecond, nil, 70 * time.Millisecond, true, 1},
		{"after a suspension", time.Hour, nil, 20 * time.Millisecond, true, 2},
		{"without a majority", 200 * time.Millisecond, errors.New("no majority"), 0, false, 3},
		{"soon after a failure", 10 * time.Millisecond, nil, 0, false, 3},
		{"majority again", 100 * time.Millisecond, nil, 20 * time.Millisecond, true, 4},
	}
	for _, tt := range steps {
		now += tt.elapsed
		failure = tt.failure
		age, ok := s.age(t.Context(), clock, read)
		assert.Equal(t, ok, tt.ok, tt.name)
		assert.Equal(t, age, tt.age, tt.name)
		assert.Equal(t, reads, tt.reads, tt.name)
	}
}

func workspaceSource(version int64, keys ...string) Source {
	s := testSource(version)
	w := route.Workspace{Name: "desk"}
	for _, k := range keys {
		w.KeyHashes = append(w.KeyHashes, route.HashKey(k))
	}
	s.Table.Workspaces = []route.Workspace{w, {Name: "co-op", KeyHashes: []string{route.HashKey("other")}}}
	return s
}

// Guards against a key that is accepted after its removal or while nobody can say
// whether it was removed, against workspaces that are lost in the file of a control
// host or in a difference of tables, and against a host whose keys are not current
// after it has got the newest table.
func TestStrictRevocation(t *testing.T) {
	ids := []string{"c1", "c2", "c3"}
	d := newDeployment(t, ids...)
	var hosts []*Host
	for _, id := range ids {
		hosts = append(hosts, d.startHost(id, ids, ids))
	}
	o := &observer{}
	l := NewLink(LinkConfig{ID: "e1", DataCentre: "dc", Seeds: ids, Key: d.key, Address: d.address, StrictRevocation: 2 * time.Second}, zap.NewNop())
	l.Start(o)
	d.onCleanup(l.Close)
	assert.Assert(t, !l.KeysCurrent())
	put := func(s Source) {
		d.await("table in force", func(ctx context.Context) bool {
			v, err := putTable(ctx, hosts, s)
			return err == nil && v == s.Table.Version
		})
	}
	hasKey := func(key string) bool {
		x := l.Index()
		return x != nil && x.Workspace(route.HashKey(key)) != nil
	}
	put(workspaceSource(1, "k1", "k2"))
	d.await("keys of the first table", func(context.Context) bool { return l.KeysCurrent() && hasKey("k1") && hasKey("k2") })
	put(workspaceSource(2, "k1"))
	d.await("removal of a key", func(context.Context) bool { return l.KeysCurrent() && hasKey("k1") && !hasKey("k2") && hasKey("other") })
	d.await("saved table", func(context.Context) bool {
		saved, err := hosts[0].files.loadTable()
		return err == nil && saved.Version == 2 && len(saved.Workspaces) == 2
	})

	// The last control host answers, but can't know whether there is a newer table.
	assert.NilError(t, hosts[1].Close())
	assert.NilError(t, hosts[2].Close())
	d.await("end of the confirmation", func(context.Context) bool { return !l.KeysCurrent() })
	d.await("answer of the last control host", func(context.Context) bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.hosts["c1"].responsive
	})
	assert.Assert(t, !l.KeysCurrent())
}
