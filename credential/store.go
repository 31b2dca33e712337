package credential

import (
	"crypto/sha256"
	"errors"
	"io/fs"
	"os"
	"sync"
	"time"

	"github.com/sycamoreline/sycamoreline/strictjson"
)

// reloadInterval is the minimum time between two checks of the file for a
// change. Only Find checks.
const reloadInterval = time.Second

// Store holds the credentials of a file and reloads it when it changes. If the
// changed file is invalid, the previous credentials remain valid.
type Store struct {
	path     string
	now      func() time.Time
	onReload func(error)

	mu            sync.RWMutex
	holders       []holder
	verified      map[[sha256.Size]byte]Identity // identities for verified argon2id credentials, by SHA-256 of the credential
	lastCheck     time.Time
	loadedVersion fileVersion

	argon2Mutex sync.Mutex // serialises argon2id checks to limit their memory use
}

type holder struct {
	identity Identity
	hash     matcher
}

// fileVersion identifies a version of the file.
type fileVersion struct {
	modified time.Time
	size     int64
}

// Option configures a Store.
type Option func(*Store)

// WithClock replaces time.Now.
func WithClock(now func() time.Time) Option { return func(s *Store) { s.now = now } }

// WithReloadHook sets a function that is called after each reload of a changed
// file, with nil or the error of the reload.
func WithReloadHook(f func(error)) Option { return func(s *Store) { s.onReload = f } }

// Open reads a credentials file and returns a Store of its credentials.
func Open(path string, opts ...Option) (*Store, error) {
	s := &Store{path: path, now: time.Now, onReload: func(error) {}}
	for _, o := range opts {
		o(s)
	}
	s.lastCheck = s.now()
	s.loadedVersion, _ = readFileVersion(path)
	if err := s.load(); err != nil {
		return nil, err
	}
	return s, nil
}

// Find returns the identity of the holder of a credential.
func (s *Store) Find(credential string) (Identity, bool) {
	s.reloadIfChanged()
	if credential == "" {
		return Identity{}, false
	}
	sum := sha256.Sum256([]byte(credential))
	s.mu.RLock()
	holders := s.holders
	identity, ok := s.verified[sum]
	s.mu.RUnlock()
	if ok {
		return identity, true
	}
	if identity, ok := findSHA256(holders, credential); ok {
		return identity, true
	}
	return s.findArgon2id(holders, credential, sum)
}

// findSHA256 compares the credential with every SHA-256 hash, so that the time
// does not depend on which one matches.
func findSHA256(holders []holder, credential string) (Identity, bool) {
	var found Identity
	var ok bool
	for _, h := range holders {
		if _, isSHA256 := h.hash.(sha256Hash); isSHA256 && h.hash.matches(credential) {
			found, ok = h.identity, true
		}
	}
	return found, ok
}

func (s *Store) findArgon2id(holders []holder, credential string, sum [sha256.Size]byte) (Identity, bool) {
	s.argon2Mutex.Lock()
	defer s.argon2Mutex.Unlock()
	for _, h := range holders {
		if _, isSHA256 := h.hash.(sha256Hash); !isSHA256 && h.hash.matches(credential) {
			s.cacheVerified(holders, sum, h.identity)
			return h.identity, true
		}
	}
	return Identity{}, false
}

// cacheVerified caches the identity found for a credential, so that later
// lookups skip the argon2id check. If a reload has replaced the holders
// meanwhile, it caches nothing.
func (s *Store) cacheVerified(holders []holder, sum [sha256.Size]byte, identity Identity) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(holders) > 0 && len(s.holders) > 0 && &holders[0] == &s.holders[0] {
		s.verified[sum] = identity
	}
}

func (s *Store) reloadIfChanged() {
	now := s.now()
	s.mu.Lock()
	if now.Sub(s.lastCheck) < reloadInterval {
		s.mu.Unlock()
		return
	}
	s.lastCheck = now
	current, err := readFileVersion(s.path)
	changed := err == nil && current != s.loadedVersion
	if changed {
		s.loadedVersion = current
	}
	s.mu.Unlock()
	if changed {
		s.onReload(s.load())
	}
}

func (s *Store) load() error {
	data, err := os.ReadFile(s.path)
	if err != nil {
		var p *fs.PathError
		if errors.As(err, &p) {
			err = p.Err
		}
		return &strictjson.Error{
			Position: strictjson.Position{Source: s.path},
			Allowed:  "cannot read the file: " + err.Error(),
		}
	}
	holders, err := parse(s.path, data)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holders = holders
	s.verified = map[[sha256.Size]byte]Identity{}
	return nil
}

func parse(path string, data []byte) ([]holder, error) {
	f, err := strictjson.Decode[credentialsFile](path, data)
	if err != nil {
		return nil, err
	}
	holders := make([]holder, 0, len(f.Credentials))
	for _, e := range f.Credentials {
		hash, err := e.matcher()
		if err != nil {
			return nil, err
		}
		holders = append(holders, holder{identity: e.identity(), hash: hash})
	}
	return holders, nil
}

func readFileVersion(path string) (fileVersion, error) {
	info, err := os.Stat(path)
	if err != nil {
		return fileVersion{}, err
	}
	return fileVersion{modified: info.ModTime(), size: info.Size()}, nil
}
