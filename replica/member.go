package replica

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Member is a replica that belongs to a group. A learner receives the log but
// does not count towards the quorum.
type Member struct {
	Ref
	Learner bool `json:"learner,omitempty"`
}

// Members are the replicas of a group. If two have the same id, the later one
// in the list is a new incarnation that is to replace the earlier one.
type Members []Member

func (m Members) find(r Ref) (Member, bool) {
	i := slices.IndexFunc(m, func(x Member) bool { return x.Ref == r })
	if i < 0 {
		return Member{}, false
	}
	return m[i], true
}

func (m Members) isVoter(r Ref) bool {
	x, ok := m.find(r)
	return ok && !x.Learner
}

// quorum returns the number of voters that form a majority.
func (m Members) quorum() int {
	voters := 0
	for _, x := range m {
		if !x.Learner {
			voters++
		}
	}
	return voters/2 + 1
}

func (m Members) with(x Member) Members {
	out := slices.Clone(m)
	if i := slices.IndexFunc(out, func(y Member) bool { return y.Ref == x.Ref }); i >= 0 {
		out[i] = x
		return out
	}
	return append(out, x)
}

func (m Members) without(r Ref) Members {
	return slices.DeleteFunc(slices.Clone(m), func(x Member) bool { return x.Ref == r })
}

func (m Members) encode() []byte {
	data, err := json.Marshal(m)
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return data
}

func decodeMembers(data []byte) (Members, error) {
	if len(data) == 0 {
		return nil, nil
	}
	var m Members
	if err := json.Unmarshal(data, &m); err != nil {
		return nil, fmt.Errorf("decode membership entry: %w", err)
	}
	return m, nil
}
