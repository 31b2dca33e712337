package caller

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/http"

	"github.com/sycamoreline/sycamoreline/verdict"
)

func randomID() string {
	var b [16]byte
	// crypto/rand.Read never fails.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// requestID returns the id set by the caller, or a new one if that is absent or
// does not match keyPattern, which ensures that it can be copied into a header.
func (p *api) requestID(r *http.Request) string {
	if id := r.Header.Get(verdict.HeaderRequestID); keyPattern.MatchString(id) {
		return id
	}
	return "r-" + p.newID()
}

// derive returns an id that depends only on its arguments, so that all hosts
// derive the same one.
func derive(prefix string, parts ...string) string {
	return prefix + hash(parts...)[:32]
}

// hash returns the SHA-256 of the parts in hexadecimal. Each part is prefixed
// with its length, so that different lists of parts never hash the same bytes.
func hash(parts ...string) string {
	h := sha256.New()
	var size [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write([]byte(part))
	}
	return hex.EncodeToString(h.Sum(nil))
}
