package credential

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/crypto/argon2"
	"gotest.tools/v3/assert"
)

func sha256Hex(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func argon2idHash(token string) string {
	salt := []byte("saltsalt")
	key := argon2.IDKey([]byte(token), salt, 1, 64, 1, 32)
	return fmt.Sprintf("$argon2id$v=19$m=64,t=1,p=1$%s$%s",
		base64.RawStdEncoding.EncodeToString(salt), base64.RawStdEncoding.EncodeToString(key))
}

func write(t *testing.T, path, entries string) {
	t.Helper()
	assert.NilError(t, os.WriteFile(path, []byte(`{"credentials":[`+entries+`]}`), 0o600))
}

func callerEntry(name, token string) string {
	return fmt.Sprintf(`{"team":"paws","name":%q,"scope":"caller","sha256":%q}`, name, sha256Hex(token))
}

// Guards against an invalid credential that is accepted and a valid one that
// is rejected, for both kinds of hash.
func TestFind(t *testing.T) {
	path := filepath.Join(t.TempDir(), "credentials.json")
	write(t, path, callerEntry("a", "token-a")+`,{"name":"b","scope":"operator","argon2id":"`+argon2idHash("token-b")+`"}`)
	s, err := Open(path)
	assert.NilError(t, err)
	tests := []struct {
		token string
		want  Identity
		ok    bool
	}{
		{"token-a", Identity{Team: "paws", Name: "a", Scope: Caller}, true},
		{"token-b", Identity{Name: "b", Scope: Operator}, true},
		{"token-b", Identity{Name: "b", Scope: Operator}, true}, // cached
		{"token-c", Identity{}, false},
		{"", Identity{}, false},
		{sha256Hex("token-a"), Identity{}, false},
	}
	for _, tt := range tests {
		got, ok := s.Find(tt.token)
		assert.Equal(t, got, tt.want)
		assert.Equal(t, ok, tt.ok)
	}
}

// Guards against entries that permit more than intended, and against a hash in
// an error message.
func TestOpenRejects(t *testing.T) {
	tests := []struct{ name, entries, want string }{
		{"scope", `{"team":"a","name":"n","scope":"root","sha256":"` + sha256Hex("x") + `"}`, "want caller, operator or team-operator"},
		{"operator with team", `{"team":"a","name":"n","scope":"operator","sha256":"` + sha256Hex("x") + `"}`, "an operator has no team"},
		{"caller without team", `{"name":"n","scope":"caller","sha256":"` + sha256Hex("x") + `"}`, "want the name of the team"},
		{"no hash", `{"team":"a","name":"n","scope":"caller"}`, "either sha256 or argon2id"},
		{"short hash", `{"team":"a","name":"n","scope":"caller","sha256":"abcd"}`, "want 64 hexadecimal digits"},
		{"argon2id form", `{"team":"a","name":"n","scope":"caller","argon2id":"$argon2i$v=19$x"}`, "want $argon2id$"},
		{"argon2id cost", `{"team":"a","name":"n","scope":"caller","argon2id":"$argon2id$v=19$m=9999999,t=1,p=1$c2FsdHNhbHQ$c2FsdHNhbHRzYWx0c2FsdA"}`, "want m up to"},
		{"same name", callerEntry("n", "x") + "," + callerEntry("n", "y"), "the name appears twice"},
		{"same hash", callerEntry("n", "x") + "," + callerEntry("m", "x"), "the same hash"},
		{"clear text", `{"team":"a","name":"n","scope":"caller","token":"x"}`, "unknown key"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "credentials.json")
			write(t, path, tt.entries)
			_, err := Open(path)
			assert.ErrorContains(t, err, tt.want)
			assert.Assert(t, !strings.Contains(err.Error(), sha256Hex("x")))
		})
	}
}

// Guards against a revoked credential that stays valid, and against an invalid
// file that revokes all credentials.
func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "credentials.json")
	write(t, path, callerEntry("a", "token-a"))
	now := time.Unix(1000, 0)
	var reloads []error
	s, err := Open(path, WithClock(func() time.Time { return now }), WithReloadHook(func(err error) { reloads = append(reloads, err) }))
	assert.NilError(t, err)
	found := func(token string) bool { _, ok := s.Find(token); return ok }

	write(t, path, callerEntry("a", "token-a")+"broken")
	now = now.Add(2 * time.Second)
	assert.Assert(t, found("token-a"))
	assert.Equal(t, len(reloads), 1)
	assert.ErrorContains(t, reloads[0], "invalid JSON")

	write(t, path, callerEntry("a", "token-a")+`,{"name":"c","scope":"operator","argon2id":"`+argon2idHash("token-c")+`"}`)
	now = now.Add(2 * time.Second)
	assert.Assert(t, found("token-c"))
	assert.Assert(t, found("token-c"), "found in the cache")

	write(t, path, callerEntry("bb", "token-b"))
	assert.Assert(t, found("token-a"), "the file is checked once per interval")
	now = now.Add(2 * time.Second)
	assert.Assert(t, !found("token-a"))
	assert.Assert(t, !found("token-c"))
	assert.Assert(t, found("token-b"))

	assert.NilError(t, os.Remove(path))
	now = now.Add(2 * time.Second)
	assert.Assert(t, found("token-b"))
}
