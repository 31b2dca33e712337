package ledger

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// SubProgramSeparator divides a parent's id from the rest of a sub-program's.
const SubProgramSeparator = "~"

// GroupOf returns the program group, 1 to groups, that keeps a program. A
// sub-program is charged to its parent and so must be in the same group: its
// id is the parent's id, SubProgramSeparator and a suffix.
func GroupOf(program string, groups int) int {
	root, _, _ := strings.Cut(program, SubProgramSeparator)
	return 1 + int(xxhash.Sum64String(root)%uint64(groups))
}
