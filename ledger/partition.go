package ledger

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// SubProgramSeparator separates the parent's id from the suffix in the id of a
// sub-program.
const SubProgramSeparator = "~"

// GroupOf returns the program group of a program, from 1 to groups. The id of a
// sub-program is the parent's id, SubProgramSeparator and a suffix. Only the
// root's id is hashed, since a sub-program is charged to its parent and so must
// be in the same group.
func GroupOf(program string, groups int) int {
	root, _, _ := strings.Cut(program, SubProgramSeparator)
	return 1 + int(xxhash.Sum64String(root)%uint64(groups))
}
