package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/credential"
	"github.com/sycamoreline/sycamoreline/operator"
	"github.com/sycamoreline/sycamoreline/tree"
)

// treeBackend is the state machine of the tree without replication.
type treeBackend struct {
	stateMachine *tree.StateMachine
	loseResponse bool // drops the response to the next change
}

func (b *treeBackend) Apply(_ context.Context, c tree.Change) (tree.Outcome, error) {
	outcome := b.stateMachine.ApplyChange(0, c)
	if b.loseResponse {
		b.loseResponse = false
		panic(http.ErrAbortHandler)
	}
	return outcome, nil
}

func (b *treeBackend) Get(ctx context.Context, _ string) (tree.Difference, error) {
	return b.Since(ctx, 0)
}

func (b *treeBackend) Since(_ context.Context, revision int64) (tree.Difference, error) {
	return b.stateMachine.Difference(revision), nil
}

func (b *treeBackend) Status(context.Context) (operator.Status, error) {
	return operator.Status{Revision: b.stateMachine.Revision(), InForce: true}, nil
}

type anyOperator struct{}

func (anyOperator) Find(string) (credential.Identity, bool) {
	return credential.Identity{Name: "op", Scope: credential.Operator}, true
}

// Guards against a change that is applied twice, lost or replaced by another one
// after its response was lost.
func TestApplyAfterLostResponse(t *testing.T) {
	b := &treeBackend{stateMachine: tree.New(), loseResponse: true}
	server := httptest.NewServer(operator.New(b, anyOperator{}))
	defer server.Close()
	root := t.TempDir()
	limits := filepath.Join(root, "teams", "tailor-paws", "limits.json")
	assert.NilError(t, os.MkdirAll(filepath.Dir(limits), 0o700))
	assert.NilError(t, os.WriteFile(limits, []byte(`{"weight": 1}`), 0o600))
	command := func(name string) (int, string) {
		status, out, errs := execute(name, "-entry", server.URL, "-credential", example("operator.credential"), root)
		return int(status), out + errs
	}

	status, text := command("apply")
	assert.Equal(t, status, 1, text)
	assert.Assert(t, strings.Contains(text, "the outcome is not known"), text)

	assert.NilError(t, os.WriteFile(limits, []byte(`{"weight": 2}`), 0o600))
	status, text = command("apply")
	assert.Equal(t, status, 0, text)
	assert.Assert(t, strings.Contains(text, "applied at revision 1"), text)
	assert.Assert(t, strings.Contains(text, "applied at revision 2"), text)
	assert.Equal(t, b.stateMachine.Revision(), int64(2))

	status, text = command("plan")
	assert.Equal(t, status, 0, text)
	assert.Equal(t, text, "no difference\n")
}

// Guards against a conflict that is reported without the conflicting change, and
// against a rejected change that blocks later ones.
func TestApplyConflict(t *testing.T) {
	b := &treeBackend{stateMachine: tree.New()}
	api := operator.New(b, anyOperator{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && b.stateMachine.Revision() == 0 {
			b.stateMachine.ApplyChange(0, tree.Change{ChangeID: "other", Writes: []tree.Write{
				{Path: "/services/orders", Value: []byte(`{"timeout-seconds":9}`)},
			}})
		}
		api.ServeHTTP(w, r)
	}))
	defer server.Close()
	root := t.TempDir()
	assert.NilError(t, os.MkdirAll(filepath.Join(root, "services"), 0o700))
	assert.NilError(t, os.WriteFile(filepath.Join(root, "services", "orders.json"), []byte(`{"timeout-seconds": 5}`), 0o600))
	apply := []string{"apply", "-entry", server.URL, "-credential", example("operator.credential"), root}
	status, _, errs := execute(apply...)
	assert.Equal(t, int(status), 1)
	assert.Assert(t, strings.Contains(errs, `/services/orders is at version 1, set by change other: {"timeout-seconds":9}`), errs)
	status, out, _ := execute(apply...)
	assert.Equal(t, int(status), 0, out)
}
