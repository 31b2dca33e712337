package membership

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	testTTL           = 1500 * time.Millisecond
	testOrderLifetime = 2 * time.Second
)

// simulation simulates the environment of the membership group: entry hosts with
// drifting clocks, servers that announce themselves and leave, and a network that
// delays, duplicates and reorders messages. Its fields hold the actual events,
// against which the state of the members is checked.
type simulation struct {
	m, replica     *StateMachine
	leases         *Leases
	now            time.Duration
	configRevision int64 // latest configuration revision
	hosts          map[string]*testHost
	responses      []func()                            // in flight to an entry host
	leftAt         map[serverIncarnation]time.Duration // when an incarnation first announced that it is leaving
	replaced       map[serverIncarnation]bool          // incarnations that another one has replaced
	orders         []order
	fencing        int64                                 // last fencing number granted
	reports        map[serverIncarnation]map[string]bool // reported fingerprints by crash
}

type testHost struct {
	Member
	drift           float64       // rate of the host's clock
	leaseExpiry     time.Duration // expiry of the lease as computed by the host, in real time
	appliedRevision int64         // configuration revision
	memberRevision  int64
	servers         map[string]Server
	grant           *Grant
	waitUntil       time.Duration // when the wait of the grant is over
}

type order struct {
	fencing int64
	end     time.Duration
}

func simulationOptions() []Option {
	return []Option{WithMaxRemoved(2), WithOrderLifetime(testOrderLifetime)}
}

func newSimulation() *simulation {
	sim := &simulation{
		m: New(simulationOptions()...), replica: New(simulationOptions()...), hosts: map[string]*testHost{},
		leftAt: map[serverIncarnation]time.Duration{}, replaced: map[serverIncarnation]bool{}, reports: map[serverIncarnation]map[string]bool{},
	}
	sim.leases = NewLeases(sim.m, testTTL)
	for i, drift := range []float64{0.99, 1, 1.01} {
		id := fmt.Sprint("h", i)
		sim.hosts[id] = &testHost{Member: Member{HostMember, id, "1"}, drift: drift, servers: map[string]Server{}}
	}
	return sim
}

func (sim *simulation) apply(t *rapid.T, c Command) Result {
	millis := sim.now.Milliseconds()
	got := sim.m.ApplyCommand(millis, c)
	assert.DeepEqual(t, sim.replica.ApplyCommand(millis, c), got)
	return got
}

func (sim *simulation) host(t *rapid.T) *testHost {
	return sim.hosts[rapid.SampledFrom(slices.Sorted(maps.Keys(sim.hosts))).Draw(t, "host")]
}

func (h *testHost) hasLease(now time.Duration) bool { return now < h.leaseExpiry }

// heartbeat sends a heartbeat, which the leader receives after a delay of up to
// 700 ms. The response arrives at once or later.
func (sim *simulation) heartbeat(t *rapid.T) {
	h := sim.host(t)
	member, sent, applied := h.Member, sim.now, h.appliedRevision
	sim.advanceClock(t)
	if !sim.leases.Renew(sim.now, member) {
		sim.apply(t, join(member.ID, member.Incarnation))
		if !sim.leases.Renew(sim.now, member) {
			return
		}
	}
	sim.leases.SetAppliedRevision(member, applied)
	config, d := sim.configRevision, sim.m.Difference(h.memberRevision)
	response := func() {
		if h.Member != member || d.Revision < h.memberRevision {
			return
		}
		if !h.hasLease(sim.now) {
			h.grant = nil // another host may have acquired the resource since
		}
		// The host's margin of 2% covers the drift of its own and the leader's clock.
		h.leaseExpiry = max(h.leaseExpiry, sent+time.Duration(float64(testTTL)*0.98/h.drift))
		h.appliedRevision = max(h.appliedRevision, config)
		h.applyDifference(d)
		if d.Revision == sim.m.Revision() {
			assert.DeepEqual(t, h.liveServers(), sim.liveServers())
		}
	}
	if rapid.Bool().Draw(t, "delayed") {
		sim.responses = append(sim.responses, response)
		return
	}
	response()
}

func (h *testHost) applyDifference(d Difference) {
	if d.Full {
		h.servers = map[string]Server{}
	}
	for _, s := range d.Servers {
		h.servers[s.Server] = s
	}
	h.memberRevision = d.Revision
}

// liveServers returns the servers that are members according to the host.
func (h *testHost) liveServers() map[string]Server {
	live := maps.Clone(h.servers)
	maps.DeleteFunc(live, func(_ string, s Server) bool { return s.Gone })
	return live
}

func (sim *simulation) liveServers() map[string]Server {
	live := map[string]Server{}
	for id, s := range sim.m.servers {
		if !s.Gone {
			live[id] = s.Server
		}
	}
	return live
}

func (sim *simulation) deliverResponse(t *rapid.T) {
	if len(sim.responses) == 0 {
		t.Skip("no response")
	}
	i := rapid.IntRange(0, len(sim.responses)-1).Draw(t, "response")
	sim.responses[i]()
	sim.responses = slices.Delete(sim.responses, i, i+1)
}

func (sim *simulation) restartHost(t *rapid.T) {
	h := sim.host(t)
	n, _ := strconv.Atoi(h.Incarnation)
	next := &testHost{Member: h.Member, drift: h.drift, servers: map[string]Server{}}
	next.Incarnation = strconv.Itoa(n + 1)
	if h.hasLease(sim.now) && rapid.Bool().Draw(t, "old one keeps running") {
		sim.hosts[h.ID+"-"+h.Incarnation] = h
	}
	sim.hosts[h.ID] = next
}

func (sim *simulation) changeConfiguration(*rapid.T) { sim.configRevision++ }

func (sim *simulation) changeLeader(*rapid.T) {
	sim.leases = NewLeases(sim.m, testTTL)
	sim.leases.ExtendAll(sim.now)
}

func (sim *simulation) expire(t *rapid.T) {
	if members := sim.leases.Expired(sim.now); len(members) > 0 {
		sim.apply(t, expire(members...))
	}
}

func (sim *simulation) advanceClock(t *rapid.T) {
	sim.now += time.Duration(rapid.SampledFrom([]int{0, 1, 20, 300, 700}).Draw(t, "milliseconds")) * time.Millisecond
}

// announce applies a new or a delayed announcement.
func (sim *simulation) announce(t *rapid.T) {
	server := fmt.Sprint("s", rapid.IntRange(0, 1).Draw(t, "server"))
	c := announce(server, fmt.Sprint(rapid.IntRange(1, 4).Draw(t, "incarnation")), rapid.Bool().Draw(t, "leaving"))
	c.Announce.Fencing = server == "s1"
	id := serverIncarnation{server, c.Announce.Incarnation}
	wasReplaced := sim.replaced[id]
	before := sim.m.servers[server]
	if before != nil && before.Incarnation != id.Incarnation && !wasReplaced {
		sim.replaced[serverIncarnation{server, before.Incarnation}] = true
	}
	r := sim.apply(t, c)
	assert.Assert(t, !wasReplaced || r.Refusal != nil, "replaced incarnation %v was accepted", id)
	if r.Refusal == nil && r.Server.Leaving {
		if _, ok := sim.leftAt[id]; !ok {
			sim.leftAt[id] = sim.now
		}
		sim.leases.Renew(sim.now, Member{ServerMember, id.Server, id.Incarnation})
	}
}

func (sim *simulation) acquire(t *rapid.T) {
	h := sim.host(t)
	if !h.hasLease(sim.now) {
		t.Skip("no lease")
	}
	r := sim.apply(t, Command{Acquire: &Acquire{"r", "s0", h.ID, h.Incarnation}})
	if r.Refusal != nil {
		return
	}
	if r.Grant.Fencing != sim.fencing {
		assert.Assert(t, r.Grant.Fencing > sim.fencing, "fencing number %d granted after %d", r.Grant.Fencing, sim.fencing)
		sim.fencing = r.Grant.Fencing
	}
	if h.grant == nil || h.grant.Fencing != r.Grant.Fencing {
		h.grant = r.Grant
		h.waitUntil = sim.now + time.Duration(r.Grant.Wait)*time.Millisecond
	}
}

// order sends an order to a server that does not check fencing numbers.
func (sim *simulation) order(t *rapid.T) {
	h := sim.host(t)
	if h.grant == nil || !h.hasLease(sim.now) || sim.now < h.waitUntil {
		t.Skip("no owner")
	}
	for _, o := range sim.orders {
		assert.Assert(t, o.fencing >= h.grant.Fencing || o.end <= sim.now, "order with fencing number %d while one with %d is in progress", h.grant.Fencing, o.fencing)
		assert.Assert(t, o.fencing <= h.grant.Fencing, "order with fencing number %d after one with %d", h.grant.Fencing, o.fencing)
	}
	sim.orders = append(sim.orders, order{h.grant.Fencing, sim.now + testOrderLifetime})
}

func (sim *simulation) yield(t *rapid.T) {
	h := sim.host(t)
	if h.grant == nil {
		t.Skip("no owner")
	}
	for _, o := range sim.orders {
		if o.fencing == h.grant.Fencing && o.end > sim.now {
			t.Skip("order in progress")
		}
	}
	sim.apply(t, Command{Yield: &Yield{"r", h.grant.Fencing}})
	h.grant = nil
}

func (sim *simulation) reportCrash(t *rapid.T) {
	id := serverIncarnation{"s0", fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "crashed"))}
	fingerprints := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 2).Draw(t, "fingerprints")
	sim.apply(t, Command{ReportCrash: &ReportCrash{id.Server, id.Incarnation, fingerprints}})
	for _, f := range fingerprints {
		if sim.reports[id] == nil {
			sim.reports[id] = map[string]bool{}
		}
		sim.reports[id][f] = true
	}
}

func (sim *simulation) restore(t *rapid.T) {
	var a, b bytes.Buffer
	assert.NilError(t, sim.m.Snapshot(&a))
	assert.NilError(t, sim.replica.Snapshot(&b))
	assert.Equal(t, a.String(), b.String())
	sim.replica = New(simulationOptions()...)
	assert.NilError(t, sim.replica.Restore(&a))
}

// removeCompacted removes the expectations for servers whose records were
// compacted: their replaced or leaving incarnations are accepted again.
func (sim *simulation) removeCompacted() {
	compacted := func(id serverIncarnation) bool { return sim.m.servers[id.Server] == nil }
	maps.DeleteFunc(sim.replaced, func(id serverIncarnation, _ bool) bool { return compacted(id) })
	maps.DeleteFunc(sim.leftAt, func(id serverIncarnation, _ time.Duration) bool { return compacted(id) })
}

func (sim *simulation) check(t *rapid.T) {
	sim.removeCompacted()
	if ok, _ := sim.leases.InForce(sim.now, sim.configRevision); ok {
		for id, h := range sim.hosts {
			assert.Assert(t, !h.hasLease(sim.now) || h.appliedRevision >= sim.configRevision, "revision in force: host %s serves with applied revision %d, want at least %d", id, h.appliedRevision, sim.configRevision)
		}
	}
	for id, h := range sim.hosts {
		for _, s := range h.servers {
			at, left := sim.leftAt[serverIncarnation{s.Server, s.Incarnation}]
			late := left && sim.now > at+2*time.Second
			assert.Assert(t, !late || !h.hasLease(sim.now) || s.Leaving || s.Gone, "host %s still sends work to a server that has left: %+v", id, s)
		}
	}
	for id := range sim.leftAt {
		s := sim.m.servers[id.Server]
		available := s != nil && s.Incarnation == id.Incarnation && !s.Leaving
		assert.Assert(t, !available, "incarnation %v is available again after it has left", id)
	}
	for _, f := range []string{"a", "b", "c"} {
		sim.checkSuspect(t, f)
	}
}

func (sim *simulation) checkSuspect(t *rapid.T, fingerprint string) {
	want := Suspect{Fingerprint: fingerprint}
	for _, inFlight := range sim.reports {
		if !inFlight[fingerprint] {
			continue
		}
		want.Crashes++
		if len(inFlight) == 1 {
			want.CrashesAlone++
		}
	}
	var got Suspect
	if found := sim.m.Answer(Query{Suspect: &SuspectQuery{fingerprint}}).Suspects; len(found) > 0 {
		got = found[0]
		got.Revision = 0
	} else {
		got.Fingerprint = fingerprint
	}
	assert.DeepEqual(t, got, want)
}

// Guards against a host that sends work to a server more than 2 s after the
// server has left, a configuration revision that counts as in force while a host
// serves an older one, and overlapping orders of two owners. These can come from
// late heartbeats, drifting clocks, leader changes, duplicate host ids and late
// announcements.
func TestRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation()
		t.Repeat(map[string]func(*rapid.T){
			"heartbeat": sim.heartbeat, "heartbeat-2": sim.heartbeat, "heartbeat-3": sim.heartbeat,
			"heartbeat-4": sim.heartbeat, "respond": sim.deliverResponse, "restart-host": sim.restartHost,
			"configuration": sim.changeConfiguration, "leader": sim.changeLeader, "expire": sim.expire,
			"expire-2": sim.expire, "time": sim.advanceClock, "announce": sim.announce, "acquire": sim.acquire,
			"acquire-2": sim.acquire, "order": sim.order, "order-2": sim.order, "yield": sim.yield,
			"crash": sim.reportCrash, "restore": sim.restore, "": sim.check,
		})
		sim.restore(t)
	})
}
