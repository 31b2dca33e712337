package ledger

// Due reports whether a tick at the given time would have any program to
// process. The leader uses it to avoid proposing ticks for an idle group.
func (m *StateMachine) Due(unixMillis int64) bool {
	t, ok := m.timers.Min()
	return ok && t.at <= unixMillis
}
