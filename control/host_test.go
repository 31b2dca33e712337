package control

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/board"
	"github.com/sycamoreline/sycamoreline/faults"
	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/membership"
	"github.com/sycamoreline/sycamoreline/pause"
	"github.com/sycamoreline/sycamoreline/tree"
	"github.com/sycamoreline/sycamoreline/verdict"
)

func TestMain(m *testing.M) {
	code := faults.Main(m)
	if code == 0 {
		if err := goleak.Find(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			code = 1
		}
	}
	os.Exit(code)
}

const (
	testTTL     = 300 * time.Millisecond
	testTimeout = 20 * time.Second
)

// link simulates a network link that can fail without a connection reset: reads
// block, and writes succeed but the data is lost. Such a write closes the
// connection, which cannot be used again.
type link struct {
	mu       sync.Mutex
	restored chan struct{} // closed while the link works
}

func newLink() *link {
	l := &link{restored: make(chan struct{})}
	close(l.restored)
	return l
}

func (l *link) setConnected(connected bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if connected {
		select {
		case <-l.restored:
		default:
			close(l.restored)
		}
		return
	}
	l.restored = make(chan struct{})
}

// connected returns a channel that is closed while the link works.
func (l *link) connected() chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.restored
}

func (l *link) dial(ctx context.Context, network, address string) (net.Conn, error) {
	select {
	case <-l.connected():
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	nc, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &linkConn{Conn: nc, link: l, closed: make(chan struct{})}, nil
}

type linkConn struct {
	net.Conn
	link   *link
	once   sync.Once
	closed chan struct{}
}

func (c *linkConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	select {
	case <-c.link.connected():
		return n, err
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

func (c *linkConn) Write(b []byte) (int, error) {
	select {
	case <-c.link.connected():
		return c.Conn.Write(b)
	default:
		// The bytes are lost, so the connection cannot be used again.
		c.Close()
		return len(b), nil
	}
}

func (c *linkConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// testCluster runs three control hosts and some entry hosts in one process.
type testCluster struct {
	t         *testing.T
	key       Key
	addresses []HostAddress
	hosts     []*Host
	hostLinks []*link // of control hosts to each other
	links     []*link // of entry hosts
	clients   []*Client
	boards    []*board.Board
	renewers  []*LeaseRenewer
	started   time.Time
}

func startCluster(t *testing.T, entryHosts int) *testCluster {
	t.Helper()
	key, err := NewKey("a key of the tests")
	assert.NilError(t, err)
	c := &testCluster{t: t, key: key, started: time.Now()}
	var listeners []net.Listener
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // listening on loopback does not block
		assert.NilError(t, err)
		listeners = append(listeners, l)
		c.addresses = append(c.addresses, HostAddress{ID: fmt.Sprintf("control-%d", i+1), Address: l.Addr().String()})
	}
	folder := t.TempDir()
	for i, l := range listeners {
		hostLink := newLink()
		c.hostLinks = append(c.hostLinks, hostLink)
		h, err := StartHost(HostConfig{
			ID: c.addresses[i].ID, Hosts: c.addresses, ProgramGroups: 2, Key: key, LeaseTTL: testTTL,
			DataFolder: filepath.Join(folder, c.addresses[i].ID), Dial: hostLink.dial,
		}, l, zap.NewNop())
		assert.NilError(t, err)
		c.hosts = append(c.hosts, h)
	}
	for i := range entryHosts {
		c.addEntryHost(i)
	}
	t.Cleanup(c.close)
	return c
}

func (c *testCluster) now() time.Duration { return time.Since(c.started) }

func (c *testCluster) addEntryHost(i int) {
	l := newLink()
	client := NewClient(fmt.Sprintf("entry-%d", i+1), c.key, c.addresses, 2, WithClientDial(l.dial))
	b := board.New()
	host := membership.Host{Host: fmt.Sprintf("entry-%d", i+1), Incarnation: "1", Address: "127.0.0.1:1", DataCentre: "dc"}
	c.links = append(c.links, l)
	c.clients = append(c.clients, client)
	c.boards = append(c.boards, b)
	c.renewers = append(c.renewers, NewLeaseRenewer(client, host, b, c.now, testTTL/3, zap.NewNop()))
}

func (c *testCluster) close() {
	for _, l := range slices.Concat(c.hostLinks, c.links) {
		l.setConnected(true)
	}
	for _, r := range c.renewers {
		r.Close()
	}
	for _, x := range c.clients {
		x.Close()
	}
	for _, h := range c.hosts {
		if h != nil {
			assert.Check(c.t, h.Close())
		}
	}
}

// stopLeader closes the control host that leads a group.
func (c *testCluster) stopLeader(group int) {
	if i := c.leader(group); i >= 0 {
		assert.NilError(c.t, c.hosts[i].Close())
		c.hosts[i] = nil
	}
}

// leader returns the index of the control host that leads a group, or -1.
func (c *testCluster) leader(group int) int {
	return slices.IndexFunc(c.hosts, func(h *Host) bool {
		if h == nil {
			return false
		}
		_, ok := h.groups[group].Leading()
		return ok
	})
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// Guards against a change that is reported to be in force while a host with a
// live lease still uses an older revision. Entry hosts are repeatedly
// disconnected and reconnected, and the leader is stopped during the test.
func TestConfigurationInForce(t *testing.T) {
	c := startCluster(t, 4) // the last one stays connected
	ctx := testContext(t)
	for _, r := range c.renewers {
		<-r.Granted()
	}
	random := rand.New(rand.NewPCG(1, 2))
	configuration := NewConfiguration(c.clients[3])
	for round := range 12 {
		for _, l := range c.links[:3] {
			l.setConnected(random.IntN(3) > 0)
		}
		if round == 6 {
			c.stopLeader(ConfigGroup)
		}
		o, err := configuration.Apply(ctx, tree.Change{
			ChangeID: fmt.Sprint("change-", round),
			Writes: []tree.Write{{
				Path: "/teams/a/limits", Value: json.RawMessage(fmt.Sprintf(`{"weight":%d}`, round+1)), IfVersion: int64(round),
			}},
		})
		assert.NilError(t, err)
		assert.Assert(t, o.Applied, "%+v", o)
		c.waitInForce(ctx, configuration, o.Revision)
	}
}

// Guards against a change that is reported with an unknown outcome after its
// leader has lost leadership, although it can be repeated under its id. What the
// leader sends to the other control hosts is lost, so that the change is in its
// log only.
func TestChangeOutlivesItsLeader(t *testing.T) {
	c := startCluster(t, 1)
	ctx := testContext(t)
	<-c.renewers[0].Granted()
	configuration := NewConfiguration(c.clients[0])
	for round := range 3 {
		change := tree.Change{
			ChangeID: fmt.Sprint("change-", round),
			Writes:   []tree.Write{{Path: "/teams/a/limits", Value: json.RawMessage(fmt.Sprintf(`{"weight":%d}`, round+1)), IfVersion: int64(round)}},
		}
		if round == 1 {
			leader := c.leader(ConfigGroup)
			for leader < 0 {
				assert.Assert(t, pause.For(ctx, time.Millisecond), "timed out: no leader")
				leader = c.leader(ConfigGroup)
			}
			c.hostLinks[leader].setConnected(false)
		}
		o, err := configuration.Apply(ctx, change)
		assert.NilError(t, err)
		assert.Assert(t, o.Applied, "%+v", o)
	}
}

// waitInForce waits until the leader reports a revision to be in force, and
// then checks all entry hosts.
func (c *testCluster) waitInForce(ctx context.Context, configuration *Configuration, revision int64) {
	for {
		r, err := configuration.InForce(ctx, revision)
		assert.NilError(c.t, err)
		if r.InForce {
			break
		}
		assert.Assert(c.t, pause.For(ctx, time.Millisecond), "timed out: revision %d is not in force on %v", revision, r.Waiting)
	}
	for i, b := range c.boards {
		applied, _ := b.Revisions()
		if b.LeaseLive(c.now()) {
			assert.Assert(c.t, applied >= revision, "entry-%d uses revision %d while %d is reported to be in force", i+1, applied, revision)
		}
	}
}

// Guards against new work for a leaving server from an entry host that did not
// receive the announcement. One lease TTL after the leader has committed it, no
// host with a live lease may treat the server as available.
func TestLeavingServerIsUnavailableEverywhere(t *testing.T) {
	c := startCluster(t, 3)
	ctx := testContext(t)
	for _, r := range c.renewers {
		<-r.Granted()
	}
	a := membership.Announcement{
		Server: "s", Incarnation: "1", Address: "127.0.0.1:2", DataCentre: "dc", Kind: membership.Engine,
		Models: []membership.Model{{Name: "m"}}, Slots: 1,
	}
	_, err := c.clients[0].Announce(ctx, a)
	assert.NilError(t, err)
	for _, b := range c.boards {
		for availableServers(b) != 1 {
			assert.Assert(t, pause.For(ctx, time.Millisecond), "timed out: server did not reach all entry hosts")
		}
	}
	c.links[1].setConnected(false)
	a.Leaving = true
	_, err = c.clients[0].Announce(ctx, a)
	assert.NilError(t, err)
	pause.For(ctx, testTTL)
	for i, b := range c.boards {
		assert.Assert(t, !b.LeaseLive(c.now()) || availableServers(b) == 0, "entry-%d still treats the server as available", i+1)
	}
}

func availableServers(b *board.Board) int {
	n := 0
	for _, v := range b.Servers() {
		if !v.Leaving {
			n++
		}
	}
	return n
}

// Guards against a call that is taken over while its host is alive, and against
// a call that is not taken over after its host has become unreachable.
func TestTakeOverOnlyFromLostHosts(t *testing.T) {
	c := startCluster(t, 2)
	ctx := testContext(t)
	for _, r := range c.renewers {
		<-r.Granted()
	}
	first, second := NewPrograms(c.clients[0]), NewPrograms(c.clients[1])
	_, err := first.OpenProgram(ctx, ledger.OpenProgram{
		Program: "p", Team: "a", Class: ledger.Standard, Key: "open",
		Budget: ledger.Budget{Tokens: 100, Calls: 5}, Deadline: time.Now().Add(time.Hour).UnixMilli(),
	})
	assert.NilError(t, err)
	open, err := first.OpenCall(ctx, ledger.OpenCall{
		Program: "p", Team: "a", Key: "k", Fingerprint: "f", Kind: ledger.ModelCall, Name: "m", Idempotent: true,
		WorstCaseTokens: 10, Host: "entry-1", HostIncarnation: "1", Timeout: 60_000, Request: "r1",
	})
	assert.NilError(t, err)
	assert.Assert(t, open.Granted)

	takeOver := ledger.TakeOver{Program: "p", Call: 1, Attempt: 1, Host: "entry-2", HostIncarnation: "1", Request: "r2"}
	pause.For(ctx, testTTL) // after a start, a control host treats every host as alive for one TTL
	_, err = second.TakeOver(ctx, open, takeOver)
	assert.Equal(t, verdict.From(err).Reason(), verdict.CallInProgress)

	c.links[0].setConnected(false)
	for {
		taken, err := second.TakeOver(ctx, open, takeOver)
		if err == nil {
			assert.Equal(t, taken.Attempt, 2)
			return
		}
		assert.Equal(t, verdict.From(err).Reason(), verdict.CallInProgress)
		assert.Assert(t, pause.For(ctx, time.Millisecond))
	}
}

// Guards against connections of hosts without the deployment key.
func TestWrongDeploymentKeyIsRefused(t *testing.T) {
	c := startCluster(t, 0)
	wrong, err := NewKey("another key than the tests'")
	assert.NilError(t, err)
	client := NewClient("stranger", wrong, c.addresses, 2)
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err = NewConfiguration(client).Since(ctx, 0)
	assert.ErrorContains(t, err, "wrong deployment key")
	assert.Equal(t, verdict.Of(err), verdict.NotRun)
}
