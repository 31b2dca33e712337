package membership

import "slices"

// serverIncarnation identifies one incarnation of a backend server.
type serverIncarnation struct {
	Server      string `json:"server"`
	Incarnation string `json:"incarnation"`
}

// crash merges the reports of all entry hosts about one crash.
type crash struct {
	serverIncarnation
	At           int64    `json:"at"`           // first report, Unix milliseconds
	Fingerprints []string `json:"fingerprints"` // sorted
}

// crashes holds the latest crashes.
type crashes struct {
	byServer map[serverIncarnation]*crash
	order    []*crash // oldest first
}

func newCrashes() crashes { return crashes{byServer: make(map[serverIncarnation]*crash)} }

// suspect is the state of a fingerprint. Its counts are derived from crashes.
type suspect struct {
	Suspect
	crashes []*crash
}

// reportCrash adds the fingerprints to the record of the crash. The fingerprints
// of a crash depend neither on the order of its reports nor on duplicates.
func (m *StateMachine) reportCrash(c *ReportCrash) Result {
	if len(c.Fingerprints) == 0 {
		return Result{}
	}
	id := serverIncarnation{c.Server, c.ServerIncarnation}
	k := m.crashes.byServer[id]
	if k == nil {
		k = &crash{serverIncarnation: id, At: m.clock}
		m.crashes.add(k)
	}
	var added []string
	for _, f := range c.Fingerprints {
		if i, found := slices.BinarySearch(k.Fingerprints, f); !found {
			k.Fingerprints = slices.Insert(k.Fingerprints, i, f)
			added = append(added, f)
		}
	}
	for _, f := range added {
		m.ensureSuspect(f).crashes = append(m.ensureSuspect(f).crashes, k)
	}
	if len(added) > 0 {
		m.recount(k)
	}
	for len(m.crashes.order) > m.options.maxCrashes {
		m.removeOldestCrash()
	}
	return Result{}
}

// ensureSuspect returns the state of a fingerprint, which it adds if it is missing.
func (m *StateMachine) ensureSuspect(fingerprint string) *suspect {
	s := m.suspects[fingerprint]
	if s == nil {
		s = &suspect{Suspect: Suspect{Fingerprint: fingerprint}}
		m.suspects[fingerprint] = s
	}
	return s
}

// recount recomputes the counts of all fingerprints of a crash.
func (m *StateMachine) recount(k *crash) {
	for _, f := range k.Fingerprints {
		s := m.suspects[f]
		before := s.Suspect
		s.Crashes, s.CrashesAlone = len(s.crashes), 0
		for _, c := range s.crashes {
			if len(c.Fingerprints) == 1 {
				s.CrashesAlone++
			}
		}
		if s.Suspect != before {
			s.Revision = m.recordChange(s.Revision, recordKey{suspect: f}, s.Crashes == 0)
		}
	}
}

// expireCrashes removes the crashes whose retention has passed.
func (m *StateMachine) expireCrashes() {
	for len(m.crashes.order) > 0 && m.crashes.order[0].At+m.options.crashRetention <= m.clock {
		m.removeOldestCrash()
	}
}

func (m *StateMachine) removeOldestCrash() {
	k := m.crashes.order[0]
	m.crashes.order = m.crashes.order[1:]
	delete(m.crashes.byServer, k.serverIncarnation)
	for _, f := range k.Fingerprints {
		s := m.suspects[f]
		s.crashes = slices.DeleteFunc(s.crashes, func(c *crash) bool { return c == k })
	}
	m.recount(k)
}

func (c *crashes) add(k *crash) {
	c.byServer[k.serverIncarnation] = k
	c.order = append(c.order, k)
}
