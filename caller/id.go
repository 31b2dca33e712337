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

// requestID returns the id set by the caller, or a new one if that is absent,
// longer than 128 bytes or not valid in a header.
func (p *api) requestID(r *http.Request) string {
	if id := r.Header.Get(verdict.HeaderRequestID); keyPattern.MatchString(id) {
		return id
	}
	return "r-" + p.newID()
}

// derive returns an id that is a function of its arguments, so that all hosts
// derive the same one.
func derive(prefix string, parts ...string) string {
	return prefix + hash(parts...)[:32]
}

// hash returns the SHA-256 of the parts, each prefixed with its length so that
// different lists of parts have different inputs.
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
