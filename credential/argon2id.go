package credential

import (
	"crypto/subtle"
	"encoding/base64"
	"fmt"
	"strings"

	"golang.org/x/crypto/argon2"
)

// Upper limits of argon2id parameters. Each check of an unknown credential can
// cost this much memory and time, so larger values are rejected.
const (
	maxArgon2MemoryKiB = 256 << 10
	maxArgon2Passes    = 16
)

type argon2Hash struct {
	memoryKiB uint32
	passes    uint32
	lanes     uint8
	salt      []byte
	key       []byte
}

// parseArgon2id parses the PHC string format,
// $argon2id$v=19$m=65536,t=3,p=1$<salt>$<hash>.
func parseArgon2id(text string) (argon2Hash, error) {
	var h argon2Hash
	invalid := fmt.Errorf("argon2id: want $argon2id$v=19$m=<KiB>,t=<passes>,p=<lanes>$<salt>$<hash>")
	parts := strings.Split(text, "$")
	if len(parts) != 6 || parts[0] != "" || parts[1] != "argon2id" || parts[2] != "v=19" {
		return h, invalid
	}
	if _, err := fmt.Sscanf(parts[3], "m=%d,t=%d,p=%d", &h.memoryKiB, &h.passes, &h.lanes); err != nil {
		return h, invalid
	}
	var saltErr, keyErr error
	h.salt, saltErr = base64.RawStdEncoding.DecodeString(parts[4])
	h.key, keyErr = base64.RawStdEncoding.DecodeString(parts[5])
	if saltErr != nil || keyErr != nil || len(h.salt) < 8 || len(h.key) < 16 {
		return h, invalid
	}
	if h.memoryKiB > maxArgon2MemoryKiB || h.passes < 1 || h.passes > maxArgon2Passes || h.lanes < 1 {
		return h, fmt.Errorf("argon2id: want m up to %d, t from 1 to %d and p of at least 1", maxArgon2MemoryKiB, maxArgon2Passes)
	}
	return h, nil
}

func (h argon2Hash) matches(credential string) bool {
	key := argon2.IDKey([]byte(credential), h.salt, h.passes, h.memoryKiB, h.lanes, uint32(len(h.key)))
	return subtle.ConstantTimeCompare(h.key, key) == 1
}
