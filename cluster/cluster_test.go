package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/cborwire"
	"github.com/sycamoreline/sycamoreline/control"
	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/pause"
	"github.com/sycamoreline/sycamoreline/registry"
	"github.com/sycamoreline/sycamoreline/route"
	"github.com/sycamoreline/sycamoreline/strictjson"
	"github.com/sycamoreline/sycamoreline/tree"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// deployment runs hosts in this process on loopback ports.
type deployment struct {
	t        testing.TB
	key      control.Key
	dir      string
	tolerate int

	mu        sync.Mutex
	listeners map[string]net.Listener // by id
	closers   []func()
}

func newDeployment(t testing.TB, ids ...string) *deployment {
	t.Helper()
	key, err := control.NewKey("a key for the tests")
	assert.NilError(t, err)
	d := &deployment{t: t, key: key, dir: t.TempDir(), tolerate: 1, listeners: map[string]net.Listener{}}
	for _, id := range ids {
		l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		d.listeners[id] = l
	}
	t.Cleanup(func() {
		for i := len(d.closers) - 1; i >= 0; i-- {
			d.closers[i]()
		}
		for _, l := range d.listeners {
			l.Close()
		}
	})
	return d
}

func (d *deployment) onCleanup(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closers = append(d.closers, f)
}

func (d *deployment) address(id string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listeners[id].Addr().String()
}

func (d *deployment) startHost(id string, founders, seeds []string) *Host {
	d.t.Helper()
	h, err := StartHost(HostConfig{
		ID: id, DataCentre: "dc", DataFolder: filepath.Join(d.dir, id), Founders: founders, Seeds: seeds, ToleratedLosses: d.tolerate,
		Key: d.key, Address: d.address,
	}, d.listeners[id], zap.NewNop())
	assert.NilError(d.t, err)
	d.onCleanup(func() { assert.Check(d.t, h.Close()) })
	return h
}

// startLedgerHost starts a ledger host whose name is "store-" followed by its
// id.
func (d *deployment) startLedgerHost(id string, seeds []string, firstStart bool) *LedgerHost {
	d.t.Helper()
	h, err := StartLedgerHost(d.ledgerHostConfig(id, seeds, firstStart), d.listeners[id], zap.NewNop())
	assert.NilError(d.t, err)
	d.onCleanup(func() { assert.Check(d.t, h.Close()) })
	return h
}

func (d *deployment) ledgerHostConfig(id string, seeds []string, firstStart bool) LedgerHostConfig {
	return LedgerHostConfig{
		HostConfig: HostConfig{
			ID: id, DataCentre: "dc", DataFolder: filepath.Join(d.dir, id), Seeds: seeds, ToleratedLosses: d.tolerate, Key: d.key, Address: d.address,
		},
		Name: "store-" + id, FirstStart: firstStart,
	}
}

// turnRequest returns a request for a turn of a program with a budget of 10
// tokens.
func turnRequest(program, turn string, maxTokens int64, previous string) TurnRequest {
	return TurnRequest{
		ReserveTurn: ledger.ReserveTurn{Program: program, Turn: turn, Budget: 10, MaxTokens: maxTokens, Previous: previous, Retention: 60_000},
		WantChain:   previous != "",
	}
}

func (d *deployment) startLink(id string, seeds []string, o Observer) *Link {
	l := NewLink(LinkConfig{ID: id, DataCentre: "dc", Seeds: seeds, Key: d.key, Address: d.address}, zap.NewNop())
	l.Start(o)
	d.onCleanup(l.Close)
	return l
}

// await waits until a condition holds.
func (d *deployment) await(what string, f func(ctx context.Context) bool) {
	d.t.Helper()
	ctx, cancel := context.WithTimeout(d.t.Context(), 30*time.Second)
	defer cancel()
	for !f(ctx) {
		if !pause.For(ctx, 10*time.Millisecond) {
			d.t.Fatalf("timed out after 30 s waiting for: %s", what)
		}
	}
}

// observer records the updates of a link.
type observer struct {
	mu          sync.Mutex
	version     int64
	servers     map[string]registry.Entry
	inFlight    map[string]int
	ownInFlight map[string]int
	limits      []ServerLimit
}

func (o *observer) Routes(x *route.Index) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version = x.Version()
}

func (o *observer) Servers(s map[string]registry.Entry) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.servers = s
}

func (o *observer) Load(l SharedLoad) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.inFlight = l.InFlight
}

func (o *observer) Suspects([]Suspect) {}

func (o *observer) Limits(list []ServerLimit) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.limits = list
}

func (o *observer) Report() HostReport {
	o.mu.Lock()
	defer o.mu.Unlock()
	return HostReport{InFlight: o.ownInFlight, Limits: o.limits}
}

func (o *observer) check(f func() bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return f()
}

func testSource(version int64) Source {
	t := &route.Table{Version: version}
	return Source{Table: t, Text: json.RawMessage(fmt.Sprintf(`{"version":%d}`, version))}
}

// putTable puts a table in force through the leader.
func putTable(ctx context.Context, hosts []*Host, s Source) (int64, error) {
	lastErr := errors.New("no host")
	for _, h := range hosts {
		v, err := h.PutTable(ctx, s)
		if err == nil {
			return v, nil
		}
		lastErr = err
	}
	return 0, lastErr
}

// Guards against hosts that do not discover each other from the seeds, a
// routing table that does not reach entry hosts or reverts to an older version,
// backend servers that are not announced, load that is not aggregated, and a
// ledger that is not created or not reachable.
func TestDeploymentForms(t *testing.T) {
	controlHosts, ledgerHosts := []string{"c1", "c2", "c3", "c4"}, []string{"k1", "k2", "k3"}
	d := newDeployment(t, append(controlHosts, ledgerHosts...)...)
	seeds := controlHosts[:3]
	var hosts []*Host
	for _, id := range seeds {
		hosts = append(hosts, d.startHost(id, seeds, seeds))
	}
	hosts = append(hosts, d.startHost("c4", nil, seeds[:1])) // a single seed must suffice to find the others

	first, second := &observer{ownInFlight: map[string]int{"i-1": 3}}, &observer{}
	entry := d.startLink("e1", seeds, first)
	d.startLink("e2", seeds, second)
	d.await("table in force", func(ctx context.Context) bool {
		v, err := putTable(ctx, hosts, testSource(7))
		return err == nil && v == 7
	})
	v, err := putTable(t.Context(), hosts, testSource(5)) // a table older than the one in force
	assert.NilError(t, err)
	assert.Equal(t, v, int64(7))
	d.await("entry hosts received the table", func(context.Context) bool {
		return first.check(func() bool { return first.version == 7 }) && second.check(func() bool { return second.version == 7 })
	})
	d.await("all hosts are members", func(context.Context) bool { return len(hosts[0].Status().Members) == 4 })

	assert.NilError(t, hosts[3].Announce(t.Context(), registry.Entry{ID: "i-1", Address: "10.0.0.1:80", Service: "s", State: registry.Ready, Sequence: 1}))
	d.await("server received by entry host", func(context.Context) bool { return second.check(func() bool { return len(second.servers) == 1 }) })
	d.await("load aggregated", func(context.Context) bool { return second.check(func() bool { return second.inFlight["i-1"] == 3 }) })
	if hosts[0].Leave(t.Context(), "i-1", 0) != nil {
		assert.NilError(t, hosts[3].Leave(t.Context(), "i-1", 0))
	}
	d.await("server removed on entry host", func(context.Context) bool { return second.check(func() bool { return len(second.servers) == 0 }) })

	for _, id := range ledgerHosts {
		d.startLedgerHost(id, seeds, true)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	_, err = entry.Reserve(ctx, turnRequest("p", "a", 6, ""))
	assert.NilError(t, err)
	assert.NilError(t, entry.Settle(ctx, ledger.SettleTurn{Program: "p", Turn: "a", Tokens: 4, Keep: &ledger.KeptTurn{Input: []byte("in;"), Output: []byte("out;"), Retention: 60_000}}))
	reservation, err := entry.Reserve(ctx, turnRequest("p", "b", 6, "a"))
	assert.NilError(t, err)
	assert.Equal(t, string(reservation.Chain), "in;out;")
	_, err = entry.Reserve(ctx, turnRequest("p", "c", 1, ""))
	assert.Equal(t, verdict.From(err).Reason(), verdict.BudgetExceeded)
	assert.Equal(t, verdict.Of(err), verdict.NotRun)

	d.await("too few hosts to retire one", func(ctx context.Context) bool {
		for _, h := range hosts {
			err := h.Retire(ctx, "store-k1")
			if v := verdict.From(err); err != nil && v.Reason() == TooFewHosts {
				return true
			}
		}
		return false
	})
}

// Guards against servers that stay in use because a control host answers after
// it was removed, and against a lost entry if it is listed again meanwhile.
func TestAnswerOfRemovedControlHost(t *testing.T) {
	l := NewLink(LinkConfig{ID: "e1"}, zap.NewNop())
	o := &observer{}
	l.observer = o
	table := registry.New(1)
	announce := func(id string) {
		table.Announce(0, registry.Entry{ID: id, Address: id, State: registry.Ready, StartedAt: 1})
	}
	announce("i-1")
	removed, current := &controlHost{id: "c1"}, &controlHost{id: "c1"}
	early := table.Next(registry.Position{}, maxServersPartBytes)
	l.applyResponse(removed, syncResponse{Part: early}, false, 0)
	assert.Equal(t, len(l.view.Servers()), 0)
	assert.Equal(t, l.loadSource, "")
	announce("i-2")
	l.hosts["c1"] = current
	l.applyResponse(current, syncResponse{Part: table.Next(registry.Position{}, maxServersPartBytes)}, false, 0)
	assert.Equal(t, len(o.servers), 2)
	position := l.view.Position("c1")
	l.receiveServersPart(removed, early)
	assert.Equal(t, l.view.Position("c1"), position)
	assert.Equal(t, len(l.view.Servers()), 2)
}

// Guards against a control host that loses the routing table on restart.
func TestStateSnapshot(t *testing.T) {
	s := newControlState(func() {}, func([]recordedDeparture, bool) {})
	s.Apply(1, 1, strictjson.Encode(tree.Change{ChangeID: "1", Writes: []tree.Write{
		{Path: tablePath, Value: strictjson.Encode(route.Table{Version: 3})}, {Path: sourcePath, Value: json.RawMessage(`{"version":3}`)},
	}}))
	var b bytes.Buffer
	assert.NilError(t, s.Snapshot(&b))
	n := newControlState(func() {}, func([]recordedDeparture, bool) {})
	assert.NilError(t, n.Restore(bytes.NewReader(b.Bytes())))
	table, source, _ := n.routingTable()
	assert.Equal(t, table.Version, int64(3))
	assert.Equal(t, string(source), `{"version":3}`)
	assert.Equal(t, n.tableVersion(), int64(3))
}

// Guards against a ledger host that loses turns on restart.
func TestPartitionSnapshot(t *testing.T) {
	s := &partitionState{ledger: ledger.New()}
	s.Apply(1, 1, cborwire.MustMarshal(ledger.Command{ReserveTurn: &ledger.ReserveTurn{Program: "p", Turn: "a", Budget: 10, MaxTokens: 6}}))
	s.Apply(2, 1, cborwire.MustMarshal(ledger.Command{SettleTurn: &ledger.SettleTurn{Program: "p", Turn: "a", Keep: &ledger.KeptTurn{Input: []byte("in"), Retention: 1000}}}))
	var b bytes.Buffer
	assert.NilError(t, s.Snapshot(&b))
	n := &partitionState{ledger: ledger.New()}
	assert.NilError(t, n.Restore(bytes.NewReader(b.Bytes())))
	chain, err := n.chain("a")
	assert.NilError(t, err)
	assert.Equal(t, string(chain), "in")
	var r ledger.Result
	assert.NilError(t, cborwire.Unmarshal(n.Apply(3, 1, []byte("not CBOR")), &r))
	assert.Equal(t, r.Refusal.Reason, verdict.BadRequest)
}

// Guards against a plan that is made before all hosts have reported, a host
// that may retire although too few would remain, and a leader of an older term
// that overrides the current one.
func TestLedgerHosts(t *testing.T) {
	l := newLedgerHosts()
	assert.Assert(t, !l.stable(time.Hour))
	for i := range 3 {
		l.report(time.Duration(i)*time.Second, fmt.Sprint("k", i), LedgerHostReport{Name: fmt.Sprint("store-", i), Partitions: []PartitionReport{
			{Partition: 1, Leader: fmt.Sprint("k", i), Term: uint64(i + 1), Members: []string{"k", fmt.Sprint(i)}},
		}})
	}
	assert.Assert(t, !l.stable(3*time.Second))
	assert.Assert(t, l.stable(2*time.Second+stableAfter))
	assert.Equal(t, l.remaining(2*time.Second, []string{"k0"}), 2)
	assert.Equal(t, l.remaining(4*time.Second, nil), 1)
	assert.DeepEqual(t, l.newView().Leaders, []PartitionReport{{Partition: 1, Leader: "k2", Term: 3}})
	assert.DeepEqual(t, l.members(1), []string{"k", "2"})
	assert.Assert(t, l.members(2) == nil)
	id, ok := l.byName("store-2")
	assert.Assert(t, ok)
	assert.Equal(t, id, "k2")
	l.expire(time.Hour)
	assert.Equal(t, len(l.reports), 0)
}

// Guards against a host that counts as emptied although it is still a member of
// a partition, or may join one because the plan still names it.
func TestEmptied(t *testing.T) {
	plan := func(members ...string) Plan { return Plan{Partitions: []PartitionPlan{{Members: members}}} }
	tests := []struct {
		name    string
		members []string // nil while a membership change is uncommitted
		plan    Plan
		want    bool
	}{
		{"member", []string{"a", "b", "c"}, plan("a", "b", "d"), false},
		{"still planned", []string{"a", "b"}, plan("a", "b", "c"), false},
		{"membership change uncommitted", nil, plan("a", "b", "d"), false},
		{"gone", []string{"a", "b", "d"}, plan("a", "b", "d"), true},
	}
	for _, tt := range tests {
		l := newLedgerHosts()
		l.report(0, "a", LedgerHostReport{Partitions: []PartitionReport{{Partition: 1, Leader: "a", Term: 2, Members: tt.members}}})
		assert.Equal(t, l.emptied(tt.plan, "c"), tt.want, tt.name)
	}
}

// Guards against aggregated load that includes hosts that no longer report or
// the requesting host itself, and against suspects that never expire.
func TestLoads(t *testing.T) {
	l := newLoads()
	l.report(0, &syncRequest{Host: "a", InFlight: map[string]int{"s": 2}, Suspects: []Suspect{{Fingerprint: 1, Servers: []string{"x"}}}})
	l.report(0, &syncRequest{Host: "b", InFlight: map[string]int{"s": 3}, Suspects: []Suspect{{Fingerprint: 1, Servers: []string{"x", "y"}}}})
	assert.DeepEqual(t, l.aggregated(0, noService).remoteInFlight("a"), map[string]int{"s": 3})
	assert.DeepEqual(t, l.suspectList(), []Suspect{{Fingerprint: 1, Servers: []string{"x", "y"}}})
	assert.DeepEqual(t, l.aggregated(2*loadMaxAge, noService).remoteInFlight("c"), map[string]int{})
	l.expire(time.Hour)
	assert.Equal(t, len(l.hosts)+len(l.suspects), 0)
}
