package tree

import (
	"encoding/json"
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
)

const (
	maxPathBytes = 512
	maxIDBytes   = 512
	maxWrites    = 4_096
)

// check validates a change independently of the tree's state.
func (c *Change) check(maxValueBytes int) error {
	if c.ChangeID == "" || len(c.ChangeID) > maxIDBytes {
		return fmt.Errorf("change-id: %d bytes, want 1 to %d", len(c.ChangeID), maxIDBytes)
	}
	if len(c.Writes) == 0 || len(c.Writes) > maxWrites {
		return fmt.Errorf("writes: %d, want 1 to %d", len(c.Writes), maxWrites)
	}
	if strings.Contains(c.Team, "/") {
		return fmt.Errorf("team %q: want no slash", c.Team)
	}
	seen := make(map[string]bool, len(c.Writes))
	for i, w := range c.Writes {
		if err := w.check(maxValueBytes); err != nil {
			return fmt.Errorf("writes[%d]: %w", i, err)
		}
		if seen[w.Path] {
			return fmt.Errorf("writes[%d]: duplicate path %q", i, w.Path)
		}
		seen[w.Path] = true
	}
	return nil
}

func (w *Write) check(maxValueBytes int) error {
	if err := checkPath(w.Path); err != nil {
		return err
	}
	if w.IfVersion < AnyVersion {
		return fmt.Errorf("if-version %d: want %d or more", w.IfVersion, AnyVersion)
	}
	if w.Delete {
		if len(w.Value) > 0 {
			return fmt.Errorf("path %q: a deletion has no value", w.Path)
		}
		return nil
	}
	if len(w.Value) > maxValueBytes {
		return fmt.Errorf("path %q: value of %d bytes, want at most %d", w.Path, len(w.Value), maxValueBytes)
	}
	if !json.Valid(w.Value) {
		return fmt.Errorf("path %q: value is not JSON", w.Path)
	}
	return nil
}

// checkPath accepts absolute paths such as /a/b without empty or relative parts.
func checkPath(path string) error {
	if len(path) < 2 || len(path) > maxPathBytes || path[0] != '/' || !utf8.ValidString(path) {
		return fmt.Errorf("path %q: want / and 1 to %d bytes of UTF-8", path, maxPathBytes-1)
	}
	for part := range strings.SplitSeq(path[1:], "/") {
		if part == "" || part == "." || part == ".." {
			return fmt.Errorf("path %q: part %q is not allowed", path, part)
		}
	}
	return nil
}

// outsideScope returns the first path that is outside the scope of the
// credential, if any.
func (c *Change) outsideScope() (path string, outside bool) {
	if c.Team == "" {
		return "", false
	}
	prefix := "/teams/" + c.Team + "/"
	for _, w := range c.Writes {
		if !strings.HasPrefix(w.Path, prefix) {
			return w.Path, true
		}
	}
	return "", false
}

// fingerprint returns a hash of the change, which distinguishes a resent change
// from a different change with the same id.
func (c *Change) fingerprint() uint64 { return xxhash.Sum64(encode(c)) }
