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

// simulation simulates the environment of group 0: entry hosts with drifting clocks,
// servers that announce themselves and leave, and a network that delays,
// duplicates and reorders messages. Its fields hold the actual events, against
// which the state of the members is checked.
type simulation struct {
	m, replica *StateMachine
	leases     *Leases
	now        time.Duration
	config     int64 // configuration revision
	hosts      map[string]*testHost
	responses  []func() // in flight to an entry host
	left       map[serverIncarnation]time.Duration
	retired    map[serverIncarnation]bool
	orders     []order
	fencing    int64
	reports    map[serverIncarnation]map[string]bool
}

type testHost struct {
	Member
	drift   float64       // rate of the host's clock
	until   time.Duration // expiry of the lease as computed by the host, in real time
	applied int64         // configuration revision
	members int64         // member revision
	servers map[string]Server
	grant   *Grant
	ready   time.Duration // when the wait of the grant is over
}

type order struct {
	fencing int64
	end     time.Duration
}

func simulationOptions() []Option { return []Option{WithRemoved(2), WithOrderLifetime(testOrderLifetime)} }

func newSimulation() *simulation {
	w := &simulation{
		m: New(simulationOptions()...), replica: New(simulationOptions()...), hosts: map[string]*testHost{},
		left: map[serverIncarnation]time.Duration{}, retired: map[serverIncarnation]bool{}, reports: map[serverIncarnation]map[string]bool{},
	}
	w.leases = NewLeases(w.m, testTTL)
	for i, drift := range []float64{0.99, 1, 1.01} {
		id := fmt.Sprint("h", i)
		w.hosts[id] = &testHost{Member: Member{HostMember, id, "1"}, drift: drift, servers: map[string]Server{}}
	}
	return w
}

func (w *simulation) apply(t *rapid.T, c Command) Result {
	millis := w.now.Milliseconds()
	got := w.m.ApplyCommand(millis, c)
	assert.DeepEqual(t, w.replica.ApplyCommand(millis, c), got)
	return got
}

func (w *simulation) host(t *rapid.T) *testHost {
	return w.hosts[rapid.SampledFrom(slices.Sorted(maps.Keys(w.hosts))).Draw(t, "host")]
}

func (h *testHost) serves(now time.Duration) bool { return now < h.until }

// heartbeat sends a heartbeat, which the leader receives after a delay of up to
// 700 ms. The response arrives at once or later.
func (w *simulation) heartbeat(t *rapid.T) {
	h := w.host(t)
	member, sent, applied := h.Member, w.now, h.applied
	w.passTime(t)
	if !w.leases.Renew(w.now, member) {
		w.apply(t, join(member.ID, member.Incarnation))
		if !w.leases.Renew(w.now, member) {
			return
		}
	}
	w.leases.SetAppliedRevision(member, applied)
	config, d := w.config, w.m.Difference(h.members)
	response := func() {
		if h.Member != member || d.Revision < h.members {
			return
		}
		if !h.serves(w.now) {
			h.grant = nil // another host may have acquired the resource since
		}
		// The host's margin of 2% covers the drift of its own and the leader's clock.
		h.until = max(h.until, sent+time.Duration(float64(testTTL)*0.98/h.drift))
		h.applied = max(h.applied, config)
		h.follow(d)
		if d.Revision == w.m.Revision() {
			assert.DeepEqual(t, h.present(), w.present())
		}
	}
	if rapid.Bool().Draw(t, "delayed") {
		w.responses = append(w.responses, response)
		return
	}
	response()
}

func (h *testHost) follow(d Difference) {
	if d.Full {
		h.servers = map[string]Server{}
	}
	for _, s := range d.Servers {
		h.servers[s.Server] = s
	}
	h.members = d.Revision
}

// present returns the servers that are members according to the host.
func (h *testHost) present() map[string]Server {
	present := maps.Clone(h.servers)
	maps.DeleteFunc(present, func(_ string, s Server) bool { return s.Gone })
	return present
}

func (w *simulation) present() map[string]Server {
	present := map[string]Server{}
	for id, s := range w.m.servers {
		if !s.Gone {
			present[id] = s.Server
		}
	}
	return present
}

func (w *simulation) respond(t *rapid.T) {
	if len(w.responses) == 0 {
		t.Skip("no response")
	}
	i := rapid.IntRange(0, len(w.responses)-1).Draw(t, "response")
	w.responses[i]()
	w.responses = slices.Delete(w.responses, i, i+1)
}

func (w *simulation) restartHost(t *rapid.T) {
	h := w.host(t)
	n, _ := strconv.Atoi(h.Incarnation)
	next := &testHost{Member: h.Member, drift: h.drift, servers: map[string]Server{}}
	next.Incarnation = strconv.Itoa(n + 1)
	if h.serves(w.now) && rapid.Bool().Draw(t, "old one keeps running") {
		w.hosts[h.ID+"-"+h.Incarnation] = h
	}
	w.hosts[h.ID] = next
}

func (w *simulation) changeConfiguration(*rapid.T) { w.config++ }

func (w *simulation) changeLeader(*rapid.T) {
	w.leases = NewLeases(w.m, testTTL)
	w.leases.ExtendAll(w.now)
}

func (w *simulation) expire(t *rapid.T) {
	if members := w.leases.Expired(w.now); len(members) > 0 {
		w.apply(t, expire(members...))
	}
}

func (w *simulation) passTime(t *rapid.T) {
	w.now += time.Duration(rapid.SampledFrom([]int{0, 1, 20, 300, 700}).Draw(t, "milliseconds")) * time.Millisecond
}

// announce applies a new or a delayed announcement.
func (w *simulation) announce(t *rapid.T) {
	server := fmt.Sprint("s", rapid.IntRange(0, 1).Draw(t, "server"))
	c := announce(server, fmt.Sprint(rapid.IntRange(1, 4).Draw(t, "incarnation")), rapid.Bool().Draw(t, "leaving"))
	c.Announce.Fencing = server == "s1"
	id := serverIncarnation{server, c.Announce.Incarnation}
	wasRetired := w.retired[id]
	before := w.m.servers[server]
	if before != nil && before.Incarnation != id.Incarnation && !wasRetired {
		w.retired[serverIncarnation{server, before.Incarnation}] = true
	}
	r := w.apply(t, c)
	assert.Assert(t, !wasRetired || r.Refusal != nil, "replaced incarnation %v was accepted", id)
	if r.Refusal == nil && r.Server.Leaving {
		if _, ok := w.left[id]; !ok {
			w.left[id] = w.now
		}
		w.leases.Renew(w.now, Member{ServerMember, id.Server, id.Incarnation})
	}
}

func (w *simulation) acquire(t *rapid.T) {
	h := w.host(t)
	if !h.serves(w.now) {
		t.Skip("no lease")
	}
	r := w.apply(t, Command{Acquire: &Acquire{"r", "s0", h.ID, h.Incarnation}})
	if r.Refusal != nil {
		return
	}
	if r.Grant.Fencing != w.fencing {
		assert.Assert(t, r.Grant.Fencing > w.fencing, "fencing number %d granted after %d", r.Grant.Fencing, w.fencing)
		w.fencing = r.Grant.Fencing
	}
	if h.grant == nil || h.grant.Fencing != r.Grant.Fencing {
		h.grant = r.Grant
		h.ready = w.now + time.Duration(r.Grant.Wait)*time.Millisecond
	}
}

// order sends an order to a server that does not check fencing numbers.
func (w *simulation) order(t *rapid.T) {
	h := w.host(t)
	if h.grant == nil || !h.serves(w.now) || w.now < h.ready {
		t.Skip("no owner")
	}
	for _, o := range w.orders {
		assert.Assert(t, o.fencing >= h.grant.Fencing || o.end <= w.now, "order with fencing number %d while one with %d is in progress", h.grant.Fencing, o.fencing)
		assert.Assert(t, o.fencing <= h.grant.Fencing, "order with fencing number %d after one with %d", h.grant.Fencing, o.fencing)
	}
	w.orders = append(w.orders, order{h.grant.Fencing, w.now + testOrderLifetime})
}

func (w *simulation) yield(t *rapid.T) {
	h := w.host(t)
	if h.grant == nil {
		t.Skip("no owner")
	}
	for _, o := range w.orders {
		if o.fencing == h.grant.Fencing && o.end > w.now {
			t.Skip("order in progress")
		}
	}
	w.apply(t, Command{Yield: &Yield{"r", h.grant.Fencing}})
	h.grant = nil
}

func (w *simulation) reportCrash(t *rapid.T) {
	id := serverIncarnation{"s0", fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "crashed"))}
	fingerprints := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 2).Draw(t, "fingerprints")
	w.apply(t, Command{ReportCrash: &ReportCrash{id.Server, id.Incarnation, fingerprints}})
	for _, f := range fingerprints {
		if w.reports[id] == nil {
			w.reports[id] = map[string]bool{}
		}
		w.reports[id][f] = true
	}
}

func (w *simulation) restore(t *rapid.T) {
	var a, b bytes.Buffer
	assert.NilError(t, w.m.Snapshot(&a))
	assert.NilError(t, w.replica.Snapshot(&b))
	assert.Equal(t, a.String(), b.String())
	w.replica = New(simulationOptions()...)
	assert.NilError(t, w.replica.Restore(&a))
}

// forget removes the expectations for servers whose records were compacted: their
// replaced or leaving incarnations are accepted again.
func (w *simulation) forget() {
	forgotten := func(id serverIncarnation) bool { return w.m.servers[id.Server] == nil }
	maps.DeleteFunc(w.retired, func(id serverIncarnation, _ bool) bool { return forgotten(id) })
	maps.DeleteFunc(w.left, func(id serverIncarnation, _ time.Duration) bool { return forgotten(id) })
}

func (w *simulation) check(t *rapid.T) {
	w.forget()
	if ok, _ := w.leases.InForce(w.now, w.config); ok {
		for id, h := range w.hosts {
			assert.Assert(t, !h.serves(w.now) || h.applied >= w.config, "revision in force: host %s serves with applied revision %d, want at least %d", id, h.applied, w.config)
		}
	}
	for id, h := range w.hosts {
		for _, s := range h.servers {
			at, left := w.left[serverIncarnation{s.Server, s.Incarnation}]
			late := left && w.now > at+2*time.Second
			assert.Assert(t, !late || !h.serves(w.now) || s.Leaving || s.Gone, "host %s still sends work to a server that has left: %+v", id, s)
		}
	}
	for id := range w.left {
		s := w.m.servers[id.Server]
		back := s != nil && s.Incarnation == id.Incarnation && !s.Leaving
		assert.Assert(t, !back, "incarnation %v is available again after it has left", id)
	}
	for _, f := range []string{"a", "b", "c"} {
		w.checkSuspect(t, f)
	}
}

func (w *simulation) checkSuspect(t *rapid.T, fingerprint string) {
	want := Suspect{Fingerprint: fingerprint}
	for _, inFlight := range w.reports {
		if !inFlight[fingerprint] {
			continue
		}
		want.Crashes++
		if len(inFlight) == 1 {
			want.CrashesAlone++
		}
	}
	var got Suspect
	if found := w.m.Answer(Query{Suspect: &SuspectQuery{fingerprint}}).Suspects; len(found) > 0 {
		got = found[0]
		got.Revision = 0
	} else {
		got.Fingerprint = fingerprint
	}
	assert.DeepEqual(t, got, want)
}

// Guards against a host that sends work to a server more than 2 s after that has
// left, a configuration revision that counts as in force while a host serves an
// older one, and orders of two owners that overlap. These can come from late
// heartbeats, drifting clocks, leader changes, duplicate host ids and late
// announcements.
func TestRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation()
		t.Repeat(map[string]func(*rapid.T){
			"heartbeat": w.heartbeat, "heartbeat-2": w.heartbeat, "heartbeat-3": w.heartbeat,
			"heartbeat-4": w.heartbeat, "respond": w.respond, "restart-host": w.restartHost,
			"configuration": w.changeConfiguration, "leader": w.changeLeader, "expire": w.expire,
			"expire-2": w.expire, "time": w.passTime, "announce": w.announce, "acquire": w.acquire,
			"acquire-2": w.acquire, "order": w.order, "order-2": w.order, "yield": w.yield,
			"crash": w.reportCrash, "restore": w.restore, "": w.check,
		})
		w.restore(t)
	})
}
