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
	t   testing.TB
	key control.Key
	dir string

	mu        sync.Mutex
	listeners map[string]net.Listener // by id
	closers   []func()
}

func newDeployment(t testing.TB, ids ...string) *deployment {
	t.Helper()
	key, err := control.NewKey("a key for the tests")
	assert.NilError(t, err)
	d := &deployment{t: t, key: key, dir: t.TempDir(), listeners: map[string]net.Listener{}}
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

func (d *deployment) host(id string, founders, seeds []string) *Host {
	d.t.Helper()
	h, err := StartHost(HostConfig{
		ID: id, DataCentre: "dc", DataFolder: filepath.Join(d.dir, id), Founders: founders, Seeds: seeds, Tolerate: 1,
		Key: d.key, Address: d.address,
	}, d.listeners[id], zap.NewNop())
	assert.NilError(d.t, err)
	d.onCleanup(func() { assert.Check(d.t, h.Close()) })
	return h
}

func (d *deployment) link(id string, seeds []string, o Observer, ledger func() *LedgerReport) *Link {
	l := NewLink(LinkConfig{ID: id, DataCentre: "dc", Seeds: seeds, Key: d.key, Address: d.address, Ledger: ledger}, zap.NewNop())
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
			d.t.Fatalf("%s: not within 30 s", what)
		}
	}
}

// observer keeps what a link tells.
type observer struct {
	mu      sync.Mutex
	version int64
	servers map[string]registry.Entry
	runs    map[string]int
	own     map[string]int
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

func (o *observer) Load(runs map[string]int, _ int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runs = runs
}

func (o *observer) Suspects([]Suspect) {}

func (o *observer) Report() (map[string]int, []Suspect) { return o.own, nil }

func (o *observer) get(f func() bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return f()
}

func testSource(version int64) Source {
	t := &route.Table{Version: version}
	return Source{Table: t, Text: json.RawMessage(fmt.Sprintf(`{"version":%d}`, version))}
}

// putTable puts a table in force through whichever host leads.
func putTable(ctx context.Context, hosts []*Host, s Source) (int64, error) {
	last := errors.New("no host")
	for _, h := range hosts {
		v, err := h.PutTable(ctx, s)
		if err == nil {
			return v, nil
		}
		last = err
	}
	return 0, last
}

// Guards against hosts that do not find each other from the seeds, a table that
// does not reach entry hosts or reverts, servers that are not told of, load that
// is not summed up, and a ledger that is not founded or not reached.
func TestDeploymentForms(t *testing.T) {
	controls, keepers := []string{"c1", "c2", "c3", "c4"}, []string{"k1", "k2", "k3"}
	d := newDeployment(t, append(controls, keepers...)...)
	seeds := controls[:3]
	var hosts []*Host
	for _, id := range seeds {
		hosts = append(hosts, d.host(id, seeds, seeds))
	}
	hosts = append(hosts, d.host("c4", nil, seeds[:1])) // knows one seed only

	first, second := &observer{own: map[string]int{"i-1": 3}}, &observer{}
	entry := d.link("e1", seeds, first, nil)
	d.link("e2", seeds, second, nil)
	d.await("table in force", func(ctx context.Context) bool {
		v, err := putTable(ctx, hosts, testSource(7))
		return err == nil && v == 7
	})
	v, err := putTable(t.Context(), hosts, testSource(5)) // an older change again
	assert.NilError(t, err)
	assert.Equal(t, v, int64(7))
	d.await("entry hosts know the table", func(context.Context) bool {
		return first.get(func() bool { return first.version == 7 }) && second.get(func() bool { return second.version == 7 })
	})
	d.await("all hosts are members", func(context.Context) bool { return len(hosts[0].Status().Members) == 4 })

	hosts[3].Announce(registry.Entry{ID: "i-1", Address: "10.0.0.1:80", Service: "s", State: registry.Ready, Sequence: 1})
	d.await("server known", func(context.Context) bool { return second.get(func() bool { return len(second.servers) == 1 }) })
	d.await("load summed up", func(context.Context) bool { return second.get(func() bool { return second.runs["i-1"] == 3 }) })
	assert.Assert(t, hosts[0].Leave("i-1", 0) || hosts[3].Leave("i-1", 0))
	d.await("server gone", func(context.Context) bool { return second.get(func() bool { return len(second.servers) == 0 }) })

	for _, id := range keepers {
		var h *Host
		var mu sync.Mutex
		l := d.link(id, seeds, nil, func() *LedgerReport {
			mu.Lock()
			defer mu.Unlock()
			if h == nil {
				return &LedgerReport{Name: "store-" + id}
			}
			return h.Report("store-" + id)
		})
		go func() {
			for l.Ledger() == nil || len(l.Ledger().Founders) == 0 {
				if !pause.For(t.Context(), 10*time.Millisecond) {
					return
				}
			}
			mu.Lock()
			defer mu.Unlock()
			h = d.host(id, l.Ledger().Founders, l.Ledger().Hosts)
		}()
	}
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	_, err = entry.Reserve(ctx, ledger.ReserveTurn{Program: "p", Turn: "a", Budget: 10, Most: 6}, false)
	assert.NilError(t, err)
	assert.NilError(t, entry.Settle(ctx, ledger.SettleTurn{Program: "p", Turn: "a", Tokens: 4, Keep: &ledger.KeptTurn{Input: []byte("in;"), Output: []byte("out;"), Retention: 60_000}}))
	reservation, err := entry.Reserve(ctx, ledger.ReserveTurn{Program: "p", Turn: "b", Budget: 10, Most: 6, Previous: "a"}, true)
	assert.NilError(t, err)
	assert.Equal(t, string(reservation.Chain), "in;out;")
	_, err = entry.Reserve(ctx, ledger.ReserveTurn{Program: "p", Turn: "c", Budget: 10, Most: 1}, false)
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

// Guards against a host that loses the table or the ledger when it starts
// again, and against a snapshot that lacks a part.
func TestStateSnapshot(t *testing.T) {
	s := newState()
	s.Apply(1, 1, strictjson.Encode(command{Change: &tree.Change{ChangeID: "1", Writes: []tree.Write{
		{Path: tablePath, Value: strictjson.Encode(route.Table{Version: 3})}, {Path: sourcePath, Value: json.RawMessage(`{"version":3}`)},
	}}}))
	s.Apply(2, 1, strictjson.Encode(command{Program: &ledger.Command{ReserveTurn: &ledger.ReserveTurn{Program: "p", Turn: "a", Budget: 10, Most: 6}}}))
	s.Apply(3, 1, strictjson.Encode(command{Program: &ledger.Command{SettleTurn: &ledger.SettleTurn{Program: "p", Turn: "a", Keep: &ledger.KeptTurn{Input: []byte("in"), Retention: 1000}}}}))
	var b bytes.Buffer
	assert.NilError(t, s.Snapshot(&b))
	n := newState()
	assert.NilError(t, n.Restore(bytes.NewReader(b.Bytes())))
	table, source, _ := n.current()
	assert.Equal(t, table.Version, int64(3))
	assert.Equal(t, string(source), `{"version":3}`)
	chain, ok := n.chain("a")
	assert.Assert(t, ok)
	assert.Equal(t, string(chain), "in")
	assert.Equal(t, n.tableVersion(), int64(3))
}

// Guards against founders that are named before all hosts have been heard, and
// against a host that may be emptied although too few would be left.
func TestLedgerHosts(t *testing.T) {
	l := newLedgerHosts()
	assert.Assert(t, l.founders(time.Hour) == nil)
	for i := range 3 {
		l.report(time.Duration(i)*time.Second, fmt.Sprint("k", i), LedgerReport{Name: fmt.Sprint("store-", i), Voter: true, Leader: "k1", Term: uint64(i)})
	}
	assert.Assert(t, l.founders(3*time.Second) == nil)
	assert.DeepEqual(t, l.founders(2*time.Second+foundingCalm), []string{"k0", "k1", "k2"})
	assert.Equal(t, l.remaining(2*time.Second, []string{"k0"}), 2)
	assert.Equal(t, l.view().Term, uint64(2))
	id, ok := l.byName("store-2")
	assert.Assert(t, ok)
	assert.Equal(t, id, "k2")
	l.expire(time.Hour)
	assert.Equal(t, len(l.reports), 0)
}

// Guards against load of hosts that are gone, and own load counted twice.
func TestLoads(t *testing.T) {
	l := newLoads()
	l.report(0, &syncRequest{Host: "a", Runs: map[string]int{"s": 2}, Suspects: []Suspect{{Fingerprint: 1, Servers: []string{"x"}}}})
	l.report(0, &syncRequest{Host: "b", Runs: map[string]int{"s": 3}, Suspects: []Suspect{{Fingerprint: 1, Servers: []string{"x", "y"}}}})
	assert.DeepEqual(t, l.others(0, "a"), map[string]int{"s": 3})
	assert.DeepEqual(t, l.suspectList(), []Suspect{{Fingerprint: 1, Servers: []string{"x", "y"}}})
	assert.DeepEqual(t, l.others(2*loadFresh, "c"), map[string]int{})
	l.expire(time.Hour)
	assert.Equal(t, len(l.hosts)+len(l.suspects), 0)
}
