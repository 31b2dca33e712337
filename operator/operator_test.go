package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/credential"
	"github.com/sycamoreline/sycamoreline/tree"
	"github.com/sycamoreline/sycamoreline/verdict"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// treeBackend applies changes to a tree.StateMachine without replication.
type treeBackend struct {
	mu      sync.Mutex
	tree    *tree.StateMachine
	changes int
	err     error // returned by Apply after the change was applied
}

func newTreeBackend() *treeBackend { return &treeBackend{tree: tree.New()} }

func (b *treeBackend) Apply(_ context.Context, c tree.Change) (tree.Outcome, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.changes++
	return b.tree.ApplyChange(0, c), b.err
}

func (b *treeBackend) Get(ctx context.Context, prefix string) (tree.Difference, error) {
	d, err := b.Since(ctx, 0)
	d.Entries = entriesWithPrefix(d.Entries, prefix)
	return d, err
}

func (b *treeBackend) Since(_ context.Context, revision int64) (tree.Difference, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tree.Difference(revision), nil
}

func (b *treeBackend) Status(context.Context) (Status, error) {
	return Status{
		Revision: 3, Waiting: []string{"entry-2"},
		EntryHosts: []EntryStatus{{Host: "entry-1", DataCentre: "dc-1", Address: "127.0.0.1:7201", LeaseLive: true, AppliedRevision: 3, Queued: 1, Running: 2, Phase: "serving"}},
		Servers:    []ServerStatus{{Server: "engine-1", Kind: "engine", DataCentre: "dc-1", Address: "127.0.0.1:7301", Serves: []string{"pattern-7b"}, Running: 2, Slots: 8}},
	}, nil
}

type staticCredentials struct{}

func (staticCredentials) Find(token string) (credential.Identity, bool) {
	switch token {
	case "operator":
		return credential.Identity{Name: "op", Scope: credential.Operator}, true
	case "paws":
		return credential.Identity{Team: "tailor-paws", Name: "seamstress", Scope: credential.TeamOperator}, true
	case "caller":
		return credential.Identity{Team: "tailor-paws", Scope: credential.Caller}, true
	}
	return credential.Identity{}, false
}

func startServer(t *testing.T, b Backend) (clientFor func(token string) *Client) {
	t.Helper()
	server := httptest.NewServer(New(b, staticCredentials{}))
	t.Cleanup(server.Close)
	return func(token string) *Client { return NewClient([]string{server.URL}, token, server.Client()) }
}

func write(path, value string, version int64) tree.Write {
	return tree.Write{Path: path, Value: json.RawMessage(value), IfVersion: version}
}

const pawsLimits, sillonsLimits = "/teams/tailor-paws/limits", "/teams/trois-sillons/limits"

// Guards against a credential that changes entries outside its subtree, and
// against values that are invalid for their path.
func TestRefusedChanges(t *testing.T) {
	tests := []struct {
		name, token string
		write       tree.Write
		reason      verdict.Reason
		want        string
	}{
		{"unknown credential", "x", write(pawsLimits, `{}`, 0), verdict.Unauthorised, "known credential"},
		{"caller", "caller", write(pawsLimits, `{}`, 0), verdict.Forbidden, "want operator or team-operator"},
		{"other team", "paws", write(sillonsLimits, `{}`, 0), verdict.Forbidden, `may change only /teams/tailor-paws/`},
		{"team with the same prefix", "paws", write("/teams/tailor-paws-2/limits", `{}`, 0), verdict.Forbidden, "may change only"},
		{"models", "paws", write("/models/m", `{"versions":["v1"]}`, 0), verdict.Forbidden, "may change only"},
		{"unknown path", "operator", write("/team/x/limits", `{}`, 0), verdict.BadRequest, "want one of /teams/<team>/limits"},
		{"unknown key", "operator", write(pawsLimits, `{"wieght":1}`, 0), verdict.BadRequest, `did you mean "weight"?`},
		{"wrong type", "operator", write(pawsLimits, `{"weight":"1"}`, 0), verdict.BadRequest, `field "weight": value "1"`},
		{"negative", "operator", write(pawsLimits, `{"max-programs":-1}`, 0), verdict.BadRequest, "want 0 or more"},
		{"no version", "operator", write("/models/m", `{}`, 0), verdict.BadRequest, "at least one version"},
		{"no timeout", "operator", write("/services/s", `{}`, 0), verdict.BadRequest, "timeout-seconds"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newTreeBackend()
			_, err := startServer(t, b)(tt.token).Apply(context.Background(), tree.Change{ChangeID: "c", Writes: []tree.Write{tt.write}})
			assert.Equal(t, verdict.From(err).Reason(), tt.reason)
			assert.Equal(t, verdict.Of(err), verdict.NotRun)
			assert.ErrorContains(t, err, tt.want)
			assert.Equal(t, b.changes, 0)
		})
	}
}

// Guards against two conflicting changes that are both reported as applied,
// and against a resent change that is applied twice.
func TestConflictAndResend(t *testing.T) {
	clientFor := startServer(t, newTreeBackend())
	ctx := context.Background()
	first := tree.Change{ChangeID: "c-1", Writes: []tree.Write{write(pawsLimits, `{"weight":1}`, 0)}}
	second := tree.Change{ChangeID: "c-2", Writes: []tree.Write{write(pawsLimits, `{"weight":2}`, 0)}}
	applied, err := clientFor("paws").Apply(ctx, first)
	assert.NilError(t, err)
	assert.Assert(t, applied.Applied)
	rejected, err := clientFor("operator").Apply(ctx, second)
	assert.NilError(t, err)
	assert.Assert(t, !rejected.Applied)
	assert.Equal(t, rejected.Reason, verdict.Conflict)
	assert.Equal(t, rejected.Conflicts[0].ChangeID, "c-1")
	again, err := clientFor("paws").Apply(ctx, first)
	assert.NilError(t, err)
	assert.DeepEqual(t, again, applied)
}

// Guards against a team credential that can read other teams' settings.
func TestTeamSeesItsSubtreeOnly(t *testing.T) {
	clientFor := startServer(t, newTreeBackend())
	ctx := context.Background()
	_, err := clientFor("operator").Apply(ctx, tree.Change{ChangeID: "c", Writes: []tree.Write{write(pawsLimits, `{}`, 0), write(sillonsLimits, `{}`, 0)}})
	assert.NilError(t, err)
	for token, want := range map[string]int{"paws": 1, "operator": 2} {
		got, err := clientFor(token).Get(ctx, "")
		assert.NilError(t, err)
		assert.Equal(t, len(got.Entries), want)
		changed, err := clientFor(token).Since(ctx, 0)
		assert.NilError(t, err)
		assert.Equal(t, len(changed.Entries), want)
	}
	_, err = clientFor("paws").Get(ctx, "/teams/trois")
	assert.Equal(t, verdict.From(err).Reason(), verdict.Forbidden)
	_, err = clientFor("paws").Status(ctx)
	assert.Equal(t, verdict.From(err).Reason(), verdict.Forbidden)
}

// Guards against a watch that misses a change made during the wait.
func TestWatchWaitsForAChange(t *testing.T) {
	b := newTreeBackend()
	s := &server{backend: b, auth: staticCredentials{}, pollInterval: time.Microsecond}
	got := make(chan tree.Difference)
	go func() {
		d, _ := s.waitForChange(context.Background(), 0, time.Hour, "/")
		got <- d
	}()
	_, err := b.Apply(context.Background(), tree.Change{ChangeID: "c", Writes: []tree.Write{write(pawsLimits, `{}`, 0)}})
	assert.NilError(t, err)
	d := <-got
	assert.Equal(t, d.Revision, int64(1))
	assert.Equal(t, d.Entries[0].Path, pawsLimits)
}

// Guards against a client that returns the not-run verdict of the second host
// although the first may have forwarded the change.
func TestClientKeepsDoubt(t *testing.T) {
	disconnecting := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer disconnecting.Close()
	busy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		verdict.New(verdict.NotRun, verdict.Overloaded, "full").Write(w)
	}))
	defer busy.Close()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	c := NewClient([]string{disconnecting.URL, busy.URL}, "operator", &http.Client{Transport: transport})
	_, err := c.Apply(context.Background(), tree.Change{ChangeID: "c"})
	assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
}

func makeFolder(t *testing.T, files map[string]string) string {
	t.Helper()
	root := t.TempDir()
	for name, value := range files {
		path := filepath.Join(root, filepath.FromSlash(name))
		assert.NilError(t, os.MkdirAll(filepath.Dir(path), 0o700))
		assert.NilError(t, os.WriteFile(path, []byte(value), 0o600))
	}
	return root
}

// Guards against a plan that misses a difference, lists values that differ
// only in layout, or deletes entries without prune.
func TestPlan(t *testing.T) {
	f, err := ReadFolder(makeFolder(t, map[string]string{
		"teams/tailor-paws/limits.json":   "{\n \"weight\": 1,\n \"max-calls\": 2\n}\n",
		"teams/trois-sillons/limits.json": `{"weight": 3}`,
		"services/orders.json":            `{"timeout-seconds": 5}`,
		".git/config":                     "not JSON",
	}))
	assert.NilError(t, err)
	current := []tree.Entry{
		{Path: pawsLimits, Value: json.RawMessage(`{"max-calls":2,"weight":1}`), Version: 4},
		{Path: sillonsLimits, Value: json.RawMessage(`{"weight":2}`), Version: 7},
		{Path: "/models/m", Value: json.RawMessage(`{"versions":["v1"]}`), Version: 1},
		{Path: "/models/gone", Deleted: true, Version: 2},
	}
	tests := []struct {
		prune bool
		want  string
	}{
		{false, `+ /services/orders
    {"timeout-seconds":5}
~ /teams/trois-sillons/limits (version 7)
    from {"weight":2}
    to   {"weight":3}
only in the tree, kept without -prune: /models/m
`},
		{true, `- /models/m (version 1)
    {"versions":["v1"]}
+ /services/orders
    {"timeout-seconds":5}
~ /teams/trois-sillons/limits (version 7)
    from {"weight":2}
    to   {"weight":3}
`},
	}
	for _, tt := range tests {
		var out bytes.Buffer
		p := NewPlan(f, current, tt.prune)
		p.Print(&out)
		assert.Equal(t, out.String(), tt.want)
		assert.Equal(t, p.Writes()[len(p.Steps)-1].IfVersion, int64(7))
	}
}

// Guards against an invalid file that is skipped or accepted.
func TestReadFolderRejects(t *testing.T) {
	tests := []struct{ file, value, want string }{
		{"teams/a/limits.txt", `{}`, "want only files with the ending .json"},
		{"teams/a/limit.json", `{}`, `field "path": value "/teams/a/limit"`},
		{"teams/a/limits.json", `{"weight":1`, "ends too early"},
		{"teams/a/limits.json", `{"weight":-1}`, `limits.json:1:11: field "weight": value -1: want 0 to 1000`},
	}
	for _, tt := range tests {
		_, err := ReadFolder(makeFolder(t, map[string]string{tt.file: tt.value}))
		assert.ErrorContains(t, err, tt.want)
	}
	_, err := ReadFolder(filepath.Join("..", "examples", "local", "settings"))
	assert.NilError(t, err)
}

// Guards against a resend whose id or content differs from the first send.
func TestPending(t *testing.T) {
	p := NewPending(t.TempDir())
	none, err := p.Load()
	assert.NilError(t, err)
	assert.Assert(t, none == nil)
	c := tree.Change{ChangeID: "c", Writes: []tree.Write{write(pawsLimits, `{"weight":1}`, 2)}}
	assert.NilError(t, p.Save(c))
	got, err := p.Load()
	assert.NilError(t, err)
	assert.DeepEqual(t, *got, c)
	assert.NilError(t, p.Clear())
}

func ExampleStatus_Print() {
	s, _ := newTreeBackend().Status(context.Background())
	s = s.merge(Status{EntryHosts: []EntryStatus{{Address: "http://127.0.0.1:7212", Error: "connection refused"}}}, false)
	var out bytes.Buffer
	_ = s.Print(&out)
	fmt.Print(out.String())
	// Output:
	// configuration revision 3, not yet in force on entry-2
	//
	// ENTRY HOST  DATA CENTRE  ADDRESS                LEASE  REVISION  QUEUED  RUNNING  PHASE
	// entry-1     dc-1         127.0.0.1:7201         live   3         1       2        serving
	// ?           ?            http://127.0.0.1:7212  ?      ?         ?       ?        no answer
	//
	// SERVER    KIND    DATA CENTRE  ADDRESS         SERVES      RUNNING  SLOTS  STATE
	// engine-1  engine  dc-1         127.0.0.1:7301  pattern-7b  2        8      serving
	//
	// http://127.0.0.1:7212: connection refused
}

// Guards against an unreachable host that hides the status of the others, and
// against the in-flight calls of one entry host being reported as the total.
func TestStatusJoinsEntryHosts(t *testing.T) {
	first, second := httptest.NewServer(New(newTreeBackend(), staticCredentials{})), httptest.NewServer(New(newTreeBackend(), staticCredentials{}))
	defer first.Close()
	defer second.Close()
	down := httptest.NewServer(http.NotFoundHandler())
	down.Close()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	c := NewClient([]string{down.URL, first.URL, second.URL}, "operator", &http.Client{Transport: transport})
	s, err := c.Status(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, s.Revision, int64(3))
	assert.Equal(t, len(s.EntryHosts), 3)
	assert.Assert(t, s.EntryHosts[0].Error != "")
	assert.Equal(t, s.Servers[0].Running, 4)
	_, err = NewClient([]string{down.URL}, "operator", &http.Client{Transport: transport}).Status(context.Background())
	assert.Equal(t, verdict.From(err).Reason(), verdict.ServerFailed)
}
