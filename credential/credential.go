// Package credential authenticates callers and operators of an entry host
// against a file of credential hashes. It neither stores nor logs credentials,
// and leaves the checks of scope and team to the APIs. Start with Open.
package credential

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/sycamoreline/sycamoreline/strictjson"
)

// Scope is the set of requests that a credential permits.
type Scope string

// The scopes.
const (
	Caller       Scope = "caller"        // calls and programs of its team
	Operator     Scope = "operator"      // the whole configuration
	TeamOperator Scope = "team-operator" // the configuration of its team
)

// Identity identifies the holder of a credential.
type Identity struct {
	Team  string // empty for the scope operator
	Name  string
	Scope Scope
}

// Entry is one credential of the credentials file. Exactly one hash is set.
type Entry struct {
	Team     string `json:"team"`
	Name     string `json:"name"`
	Scope    Scope  `json:"scope"`
	SHA256   string `json:"sha256"`   // hex
	Argon2id string `json:"argon2id"` // $argon2id$v=19$m=...,t=...,p=...$salt$hash
}

// credentialsFile is the content of the credentials file.
type credentialsFile struct {
	Credentials []Entry `json:"credentials"`
}

// Check rejects incomplete and duplicate entries.
func (f *credentialsFile) Check() error {
	names, hashes := map[string]bool{}, map[string]bool{}
	for i, e := range f.Credentials {
		field := fmt.Sprintf("credentials[%d]", i)
		if err := e.check(field); err != nil {
			return err
		}
		if names[e.Team+"/"+e.Name] {
			return strictjson.Invalid(field+".name", e.Name, "the name appears twice in its team; names are unique")
		}
		hash := strings.ToLower(e.SHA256) + e.Argon2id
		if hashes[hash] {
			return &strictjson.Error{Field: field, Allowed: "two credentials have the same hash; each needs its own"}
		}
		names[e.Team+"/"+e.Name], hashes[hash] = true, true
	}
	return nil
}

func (e Entry) check(field string) error {
	switch e.Scope {
	case Operator:
		if e.Team != "" {
			return strictjson.Invalid(field+".team", e.Team, "an operator has no team; use the scope team-operator")
		}
	case Caller, TeamOperator:
		if e.Team == "" {
			return strictjson.Invalid(field+".team", e.Team, "want the name of the team")
		}
	default:
		return strictjson.Invalid(field+".scope", string(e.Scope), "want caller, operator or team-operator")
	}
	if e.Name == "" {
		return strictjson.Invalid(field+".name", e.Name, "want a name")
	}
	if (e.SHA256 == "") == (e.Argon2id == "") {
		return &strictjson.Error{Field: field, Allowed: "want either sha256 or argon2id"}
	}
	if _, err := e.matcher(); err != nil {
		return &strictjson.Error{Field: field, Allowed: err.Error()}
	}
	return nil
}

func (e Entry) matcher() (matcher, error) {
	if e.SHA256 != "" {
		return parseSHA256(e.SHA256)
	}
	return parseArgon2id(e.Argon2id)
}

func (e Entry) identity() Identity {
	return Identity{Team: e.Team, Name: e.Name, Scope: e.Scope}
}

// matcher compares a credential with a hash.
type matcher interface {
	matches(credential string) bool
}

type sha256Hash [sha256.Size]byte

func parseSHA256(text string) (sha256Hash, error) {
	var h sha256Hash
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(h) {
		return h, fmt.Errorf("sha256: want 64 hexadecimal digits")
	}
	copy(h[:], raw)
	return h, nil
}

func (h sha256Hash) matches(credential string) bool {
	sum := sha256.Sum256([]byte(credential))
	return subtle.ConstantTimeCompare(h[:], sum[:]) == 1
}
