package tree

// changeRecord is the stored outcome of a change.
type changeRecord struct {
	ChangeID    string  `json:"change-id"`
	Fingerprint uint64  `json:"fingerprint"`
	Outcome     Outcome `json:"outcome"`
}

// outcomes holds the latest change records.
type outcomes struct {
	byID  map[string]*changeRecord
	order []*changeRecord // oldest first
}

func newOutcomes() outcomes { return outcomes{byID: make(map[string]*changeRecord)} }

func (s *outcomes) get(id string) *changeRecord { return s.byID[id] }

func (s *outcomes) add(r changeRecord, limit int) {
	s.byID[r.ChangeID] = &r
	s.order = append(s.order, &r)
	for len(s.order) > limit {
		delete(s.byID, s.order[0].ChangeID)
		s.order[0] = nil
		s.order = s.order[1:]
	}
}
