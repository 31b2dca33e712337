package cluster

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/cborwire"
	"github.com/sycamoreline/sycamoreline/control"
	"github.com/sycamoreline/sycamoreline/route"
	"github.com/sycamoreline/sycamoreline/verdict"
)

func quotaTable(version int64, perSecond float64) (Source, *route.Workspace) {
	t := &route.Table{Version: version, Workspaces: []route.Workspace{
		{Name: "w", KeyHashes: []string{route.HashKey("k")}, PerSecond: perSecond, Burst: 2}, {Name: "unlimited", KeyHashes: []string{route.HashKey("u")}},
	}}
	return Source{Table: t, Text: json.RawMessage("{}")}, &t.Workspaces[0]
}

// Guards against requests of workspaces that no leader counts although there is one,
// also after it has been closed or the limit has changed, and against requests that
// are sent without a leader.
func TestWorkspacePermits(t *testing.T) {
	ids := []string{"c1", "c2", "c3"}
	d := newDeployment(t, ids...)
	var hosts []*Host
	for _, id := range ids {
		h, err := StartHost(HostConfig{
			ID: id, DataFolder: t.TempDir(), Founders: ids, Seeds: ids, Key: d.key, Address: d.address,
			Quota: QuotaBound{Window: time.Second},
		}, d.listeners[id], zap.NewNop())
		assert.NilError(t, err)
		hosts = append(hosts, h)
	}
	source, w := quotaTable(1, 5)
	o := &observer{}
	l := d.startLink("e1", ids, o)
	d.await("table in force", func(ctx context.Context) bool {
		_, err := putTable(ctx, hosts, source)
		return err == nil && o.check(func() bool { return o.version == 1 })
	})
	permit := func(ctx context.Context) bool {
		p, err := l.WorkspacePermit(ctx, w, false)
		return err == nil && p.Limited()
	}
	d.await("permit granted", permit)
	started, granted := time.Now(), 0
	refusal := (*verdict.Error)(nil)
	for range 30 { // all requests of one message
		p, err := l.WorkspacePermit(t.Context(), w, true)
		if err != nil {
			refusal = verdict.From(err)
			continue
		}
		granted++
		l.RefundPermit(p)
		p, err = l.WorkspacePermit(t.Context(), w, true) // of the refund
		if err == nil && p.Limited() {
			granted++
		}
	}
	most := 2*(2+5*time.Since(started).Seconds()) + 2 // every other one is refunded
	assert.Assert(t, float64(granted) <= most, "%d permits in %v", granted, time.Since(started))
	assert.Equal(t, refusal.Reason(), verdict.QuotaExceeded)
	assert.Equal(t, refusal.Verdict(), verdict.NotRun)
	assert.Assert(t, refusal.RetryAfter() > 0)

	unlimited, _ := quotaTable(2, 0)
	d.await("limit removed", func(ctx context.Context) bool {
		_, err := putTable(ctx, hosts, unlimited)
		return err == nil && o.check(func() bool { return o.version == 2 })
	})
	p, err := l.WorkspacePermit(t.Context(), w, true)
	assert.NilError(t, err)
	assert.Assert(t, !p.Limited())
	source, _ = quotaTable(3, 50)
	d.await("limit set again", func(ctx context.Context) bool {
		_, err := putTable(ctx, hosts, source)
		return err == nil && o.check(func() bool { return o.version == 3 })
	})
	for i, h := range hosts {
		if h.requireLeader() == nil {
			assert.Check(t, h.Close())
			hosts[i] = hosts[0]
			break
		}
	}
	d.await("permit granted by the next leader", permit)
	for _, h := range hosts[1:] {
		assert.Check(t, h.Close())
	}
	_, err = l.WorkspacePermit(t.Context(), w, false)
	assert.Equal(t, verdict.From(err).Reason(), verdict.ControlUnavailable)
	assert.Equal(t, verdict.Of(err), verdict.NotRun)
	l.RefundPermit(NewWorkspacePermit(time.Hour)) // lost
}

// cuttableNetwork connects control hosts, one of which may be cut off.
type cuttableNetwork struct {
	d     *deployment
	mu    sync.Mutex
	cut   string
	conns []net.Conn
}

func (n *cuttableNetwork) dial(from string) control.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		n.mu.Lock()
		defer n.mu.Unlock()
		if err == nil && n.cut != "" && (n.cut == from || n.d.address(n.cut) == address) {
			c.Close()
			return nil, net.ErrClosed
		}
		n.conns = append(n.conns, c)
		return c, err
	}
}

func (n *cuttableNetwork) isolate(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = id
	for _, c := range n.conns {
		if c != nil {
			c.Close()
		}
	}
}

// Guards against a leader that is cut off from the other control hosts and still
// grants permits while the next one does.
func TestCutLeaderGrantsNoPermits(t *testing.T) {
	ids := []string{"c1", "c2", "c3"}
	d := newDeployment(t, ids...)
	n := &cuttableNetwork{d: d}
	var hosts []*Host
	for _, id := range ids {
		h, err := StartHost(HostConfig{
			ID: id, DataFolder: t.TempDir(), Founders: ids, Seeds: ids, Key: d.key, Address: d.address, Dial: n.dial(id), Quota: QuotaBound{Window: time.Second},
		}, d.listeners[id], zap.NewNop())
		assert.NilError(t, err)
		d.onCleanup(func() { assert.Check(t, h.Close()) })
		hosts = append(hosts, h)
	}
	grants := func(ctx context.Context, h *Host) bool {
		_, err := h.permit(ctx, "e1", permitRequest{Workspaces: []workspaceRequest{{Workspace: "w", Table: 1, QuotaLimit: QuotaLimit{100, 10}, Continuations: 1}}})
		return err == nil
	}
	var leader *Host
	awaitLeader := func(what string) {
		d.await(what, func(ctx context.Context) bool {
			for _, h := range hosts {
				if h != leader && grants(ctx, h) {
					assert.Assert(t, leader == nil || !grants(ctx, leader))
					leader = h
					return true
				}
			}
			return false
		})
	}
	awaitLeader("first leader")
	for range 2 {
		n.isolate(leader.config.ID)
		awaitLeader("next leader")
	}
}

// Guards against a lease that is extended by a read which began before a freeze, and
// against the lease of an earlier term.
func TestLeadershipLease(t *testing.T) {
	tests := []struct {
		name      string
		startedAt time.Duration
		term      uint64
		now       time.Duration
		want      bool // in term 2
	}{
		{"fresh", time.Second, 2, time.Second + leaseDuration - 1, true},
		{"ended", time.Second, 2, time.Second + leaseDuration, false},
		{"confirmed after a freeze", time.Second, 2, 4 * time.Second, false},
		{"earlier term", time.Second, 1, time.Second, false},
		{"later term", time.Second, 3, time.Second, false},
	}
	for _, tt := range tests {
		var l leadershipLease
		l.confirm(tt.startedAt, tt.term)
		assert.Equal(t, l.valid(tt.now, 2), tt.want, tt.name)
		l.confirm(tt.now, 9)
		l.confirm(tt.now, 2)
		assert.Assert(t, !l.valid(tt.now, 2), tt.name)
	}
}

// Guards against messages of deployments without quotas that are longer than before
// or are sent in addition, and against hosts of earlier builds that cannot read them.
func TestNoQuotaNoMessage(t *testing.T) {
	limit := ServerLimit{Server: "s", StartedAt: 3, PerSecond: 1.5, Age: time.Second}
	before := cborwire.MustMarshal(struct {
		Host string `json:"host"`
		ServerLimit
	}{"e1", limit})
	assert.DeepEqual(t, cborwire.MustMarshal(permitRequest{Host: "e1", ServerLimit: &limit}), before)
	var r permitRequest
	assert.NilError(t, cborwire.Unmarshal(before, &r))
	assert.DeepEqual(t, *r.ServerLimit, limit)
	assert.DeepEqual(t, cborwire.MustMarshal(permitResponse{Wait: 5}), cborwire.MustMarshal(struct {
		Wait time.Duration `json:"wait,omitempty"`
	}{5}))

	l := NewLink(LinkConfig{ID: "e1"}, zap.NewNop())
	source, _ := quotaTable(1, 0)
	l.index.Store(route.NewIndex(source.Table))
	p, err := l.WorkspacePermit(t.Context(), &source.Table.Workspaces[1], true)
	assert.NilError(t, err)
	assert.Assert(t, !p.Limited() && p.Valid())
	l.RefundPermit(p)
	calls, refunds := l.permits.take()
	assert.Equal(t, len(calls)+len(refunds), 0)
}

// Guards against a permit that passes to a request which arrived after it had been
// requested, and against permits of requests that have ended which are lost.
func TestPermitBatch(t *testing.T) {
	newCall := func(begins, repeated bool) *permitCall {
		return &permitCall{workspace: workspaceRequest{Workspace: "w"}, begins: begins, repeated: repeated, startedAt: time.Hour, done: make(chan struct{})}
	}
	calls := []*permitCall{newCall(true, false), newCall(false, true), newCall(false, false), newCall(true, false)}
	b := newPermitBatch("e1", calls, []WorkspacePermit{{request: workspaceRequest{Workspace: "w"}, term: 7, at: 5}})
	assert.Equal(t, len(b.request.Workspaces), 1)
	r := b.request.Workspaces[0]
	assert.Equal(t, [3]int{r.Continuations, r.Beginnings, r.Repeated}, [3]int{2, 2, 1})
	assert.DeepEqual(t, r.Refunds, []permitRefund{{Term: 7, At: 5, Count: 1}})
	calls[1].claimed.Store(true) // ended
	unused := b.distribute("c1", permitResponse{Term: 8, At: 6, Workspaces: []workspaceGrant{{Continuations: 2, Beginnings: 1}}}, nil)
	assert.Equal(t, len(unused), 1)
	assert.Equal(t, unused[0].term, uint64(8))
	for i, want := range []bool{true, false, true, false} {
		assert.Equal(t, calls[i].permit.Limited(), want)
	}
	p := calls[0].permit
	assert.Assert(t, p.validAt(time.Hour+permitValidity-1) && !p.validAt(time.Hour+permitValidity))
}
