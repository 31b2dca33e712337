package ledger

// Due says whether a tick at the given time would look at any program, so
// that an idle group proposes none.
func (m *StateMachine) Due(unixMillis int64) bool {
	t, ok := m.timers.Min()
	return ok && t.at <= unixMillis
}
