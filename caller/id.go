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

// requestID returns the id that the caller chose, or a new one. An id that
// could not be copied into a header is replaced.
func (p *api) requestID(r *http.Request) string {
	if id := r.Header.Get(verdict.HeaderRequestID); keyPattern.MatchString(id) {
		return id
	}
	return "r-" + p.newID()
}

// derive returns an id that is the same on every host for the same parts.
func derive(prefix string, parts ...string) string {
	return prefix + hash(parts...)[:32]
}

// hash returns the SHA-256 of the parts, each preceded by its length so that
// different parts never give the same bytes.
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
