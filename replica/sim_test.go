package replica

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"pgregory.net/rapid"

	"github.com/sycamoreline/sycamoreline/disk"
	"github.com/sycamoreline/sycamoreline/faults"
)

var simTiming = Timing{Heartbeat: 100 * time.Millisecond, Election: 500 * time.Millisecond}

const simTick = 25 * time.Millisecond

// sim runs a group of hosts in virtual time with simulated disks and network,
// and checks the safety properties of Raft after every event.
type sim struct {
	t      *rapid.T
	random *rand.Rand
	net    *faults.Network[Message]
	now    time.Duration
	hosts  []*simHost

	leaders        map[uint64]Ref        // by term
	committed      map[uint64]disk.Entry // by index, as first applied on any host
	highestApplied uint64                // highest index applied anywhere
	acked          []string              // commands acknowledged to their proposers
	proposals      int
	readID         uint64
	readFloor      map[uint64]uint64 // highest applied index when a read began, by read id
	trace          []string
}

// simHost is a simulated host. node is nil while the host is down.
type simHost struct {
	*sim
	id     string
	disk   *faults.Disk
	node   *Node
	writer *writer

	nextTick        time.Duration
	restartAt       time.Duration
	frozenUntil     time.Duration // 0 if the host is not frozen
	inbox           []Message     // received while frozen
	rate            float64       // speed of the local clock
	rateSince       time.Duration // time of the last change of rate
	elapsed         time.Duration // local clock at rateSince
	wallClockOffset int64         // offset of the wall clock in milliseconds
	syncTime        time.Duration // duration of each disk write
	queue           []write
	writing         bool
	writeDoneAt     time.Duration
	keepEntries     uint64
	corrupted       uint64 // incarnation at the last corruption of the log
	commands        []string
	applied         disk.SnapshotInfo
	sinceSnapshot   int
	pending         map[uint64]simProposal
}

type simProposal struct {
	term    uint64
	command string
}

func newSim(t *rapid.T) *sim {
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
	s := &sim{
		t: t, random: random, net: faults.NewNetwork[Message](random),
		leaders: map[uint64]Ref{}, committed: map[uint64]disk.Entry{}, readFloor: map[uint64]uint64{},
	}
	for _, id := range testIDs {
		h := &simHost{sim: s, id: id, disk: faults.NewDisk(), rate: 1, syncTime: 2 * time.Millisecond, keepEntries: 2}
		s.hosts = append(s.hosts, h)
		h.start()
	}
	return s
}

func (s *sim) logf(format string, args ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%8.3fs ", s.now.Seconds())+fmt.Sprintf(format, args...))
}

// failf logs the last 60 events and fails the test.
func (s *sim) failf(format string, args ...any) {
	for _, l := range s.trace[max(0, len(s.trace)-60):] {
		s.t.Log(l)
	}
	s.t.Fatalf(format, args...)
}

func (h *simHost) localTime() Now {
	elapsed := h.elapsed + time.Duration(float64(h.now-h.rateSince)*h.rate)
	return Now{Elapsed: elapsed, UnixMillis: elapsed.Milliseconds() + h.wallClockOffset}
}

func (h *simHost) setRate(rate float64) {
	h.elapsed, h.rateSince, h.rate = h.localTime().Elapsed, h.now, rate
}

// simResidentBytes keeps the data of a few commands in memory.
const simResidentBytes = 16

func (h *simHost) start() {
	store, r, err := disk.Open(h.disk, "data", h.id, h.random.Uint64(), disk.WithEntriesOnDisk())
	if errors.Is(err, disk.ErrDamaged) {
		h.logf("%s: %v", h.id, err)
		if err := disk.SetAside(h.disk, "data", h.random.Uint64()); err != nil {
			h.failf("set aside: %v", err)
		}
		store, r, err = disk.Open(h.disk, "data", h.id, h.random.Uint64(), disk.WithEntriesOnDisk())
	}
	if errors.Is(err, faults.ErrSync) || errors.Is(err, syscall.ENOSPC) {
		h.stop(200 * time.Millisecond)
		return
	}
	if err != nil {
		h.failf("%s: open: %v", h.id, err)
	}
	h.writer = &writer{store: store}
	h.queue, h.writing, h.inbox, h.pending = nil, false, nil, map[uint64]simProposal{}
	h.nextTick, h.restartAt, h.frozenUntil = h.now, 0, 0
	h.commands, h.sinceSnapshot = nil, 0
	h.applied = disk.SnapshotInfo{Index: r.Base.Index, Term: r.Base.Term, Members: r.Base.Members}
	if r.Snapshot.Index > 0 {
		h.restore(r.Snapshot)
	}
	self := Ref{ID: h.id, Incarnation: r.Identity.Incarnation}
	h.node, err = NewNode(h.localTime(), NodeOptions{Self: self, Initial: testIDs, Timing: simTiming, Random: h.random, ResidentBytes: simResidentBytes}, r)
	if err != nil {
		h.failf("%s: %v", h.id, err)
	}
	h.logf("%s: start %d term %d last %d", h.id, self.Incarnation%1000, h.node.hardState.Term, h.node.log.last())
}

// crash stops the host, possibly in the middle of a write, and schedules its
// restart.
func (h *simHost) crash(after time.Duration) {
	if h.node == nil {
		return
	}
	h.logf("%s: crash", h.id)
	if h.writing && h.random.IntN(2) == 0 {
		h.disk.FailSync(true)
		_, _ = h.writer.writeNext(h.queue)
		h.disk.FailSync(false)
	}
	h.disk.Crash(h.random)
	h.stop(after)
}

func (h *simHost) stop(after time.Duration) {
	h.node, h.writing, h.queue, h.frozenUntil = nil, false, nil, 0
	h.restartAt = h.now + after
}

// run advances virtual time by d.
func (s *sim) run(d time.Duration) {
	end := s.now + d
	for s.step(end) {
	}
	s.now = end
}

// step handles the next event before or at end, and returns false if there is
// none.
func (s *sim) step(end time.Duration) bool {
	at, do := end+1, func() {}
	earlier := func(x time.Duration, f func()) {
		if x < at {
			at, do = max(x, s.now), f
		}
	}
	if x, ok := s.net.Next(); ok {
		earlier(x, s.receive)
	}
	for _, h := range s.hosts {
		switch {
		case h.node == nil:
			earlier(h.restartAt, h.start)
		case h.frozenUntil > 0:
			earlier(h.frozenUntil, h.resume)
		default:
			earlier(h.nextTick, h.tick)
			if h.writing {
				earlier(h.writeDoneAt, h.finishWrite)
			}
		}
	}
	if at > end {
		return false
	}
	s.now = at
	do()
	s.checkLeaders()
	return true
}

func (s *sim) checkLeaders() {
	for _, h := range s.hosts {
		if h.node == nil || h.node.Role() != Leader {
			continue
		}
		term := h.node.Term()
		if other, ok := s.leaders[term]; ok && other != h.node.Self {
			s.failf("term %d has leaders %v and %v", term, other, h.node.Self)
		} else if !ok {
			s.leaders[term] = h.node.Self
			s.logf("%s: leads term %d", h.id, term)
		}
	}
}

func (s *sim) receive() {
	to, m, ok := s.net.Receive(s.now)
	if !ok {
		return
	}
	h := s.host(to)
	switch {
	case h.node == nil:
	case h.frozenUntil > 0:
		h.inbox = append(h.inbox, m)
	default:
		h.handle(h.node.Step(h.localTime(), m))
	}
}

func (s *sim) host(id string) *simHost {
	return s.hosts[slices.IndexFunc(s.hosts, func(h *simHost) bool { return h.id == id })]
}

// resume resumes a frozen host. Timers, a read or received messages are handled
// first, at random.
func (h *simHost) resume() {
	h.frozenUntil = 0
	h.nextTick = h.now
	switch h.random.IntN(3) {
	case 0:
		h.tick()
	case 1:
		h.read() // before a tick can show how long the host was frozen
	}
	inbox := h.inbox
	h.inbox = nil
	for _, m := range inbox {
		if h.node != nil {
			h.handle(h.node.Step(h.localTime(), m))
		}
	}
}

func (h *simHost) tick() {
	h.nextTick = h.now + simTick
	h.handle(h.node.Tick(h.localTime()))
}

// handle performs the I/O requested by an output, as Group.handle does, in
// virtual time.
func (h *simHost) handle(out Output) {
	if out.Fatal != nil {
		h.stopFatal(out.Fatal)
		return
	}
	h.send(out.Immediate)
	for _, c := range out.Chunks {
		h.sendChunk(c)
	}
	switch {
	case out.Persist.empty() && len(h.queue) == 0:
		h.send(out.AfterPersist)
	case !out.Persist.empty() || len(out.AfterPersist) > 0:
		h.queue = append(h.queue, write{persist: out.Persist, afterPersist: out.AfterPersist})
		h.beginWrite()
	}
	if out.Restore != nil {
		h.restore(*out.Restore)
	}
	for _, e := range out.Apply {
		e, err := h.writer.store.LoadEntry(e)
		if err != nil {
			h.stopFatal(err)
			return
		}
		h.apply(e)
	}
	for _, r := range out.Reads {
		if !r.Rejected && r.Index < h.readFloor[r.ID] {
			h.failf("%s: read %d at index %d, but %d was applied before it began", h.id, r.ID, r.Index, h.readFloor[r.ID])
		}
	}
	h.snapshotIfDue()
}

func (h *simHost) stopFatal(err error) {
	h.logf("%s: stops: %v", h.id, err)
	if !errors.Is(err, ErrRolledBack) && !errors.Is(err, disk.ErrDamaged) {
		h.failf("%s: %v", h.id, err)
	}
	if err := disk.SetAside(h.disk, "data", h.random.Uint64()); err != nil {
		h.failf("set aside: %v", err)
	}
	h.stop(50 * time.Millisecond)
}

func (h *simHost) send(ms []Message) {
	for _, m := range ms {
		entries, err := loadEntries(h.writer.store, m.Entries)
		if err != nil {
			h.stopFatal(err)
			return
		}
		m.Entries = entries
		h.net.Send(h.now, h.id, m.To.ID, m)
	}
}

func (h *simHost) sendChunk(c ChunkRead) {
	const size = 64 // so that a transfer takes several messages
	data, err := h.writer.store.ReadChunk(c.Info, c.Message.Offset, size)
	if err != nil {
		return // a newer snapshot has replaced it
	}
	c.Message.Data = data
	c.Message.Last = c.Message.Offset+int64(len(data)) >= c.Info.Bytes
	h.send([]Message{c.Message})
}

func (h *simHost) beginWrite() {
	if !h.writing {
		h.writing, h.writeDoneAt = true, h.now+h.syncTime
	}
}

func (h *simHost) finishWrite() {
	k, err := h.writer.writeNext(h.queue)
	if errors.Is(err, disk.ErrFull) {
		h.writeDoneAt = h.now + 50*time.Millisecond
		return
	}
	done := h.queue[:k]
	h.queue = h.queue[k:]
	h.writing = false
	if len(h.queue) > 0 {
		h.beginWrite()
	}
	if err != nil && !errors.Is(err, errChunk) {
		h.logf("%s: %v", h.id, err)
		h.disk.Crash(h.random)
		h.stop(100 * time.Millisecond)
		return
	}
	for _, w := range done {
		h.reportWritten(w, err)
		if h.node == nil {
			return
		}
	}
}

func (h *simHost) reportWritten(w write, err error) {
	if err != nil {
		h.handle(h.node.ChunkFailed(h.localTime(), w.persist))
		return
	}
	h.send(w.afterPersist)
	if !w.persist.empty() {
		h.handle(h.node.Persisted(h.localTime(), w.persist))
	}
}

func (h *simHost) apply(e disk.Entry) {
	if e.Index != h.applied.Index+1 {
		h.failf("%s: applied entry %d directly after entry %d", h.id, e.Index, h.applied.Index)
	}
	first, ok := h.committed[e.Index]
	if ok && (first.Term != e.Term || string(first.Data) != string(e.Data)) {
		h.failf("%s: applied entry %d with term %d and data %q, but term %d and data %q were committed", h.id, e.Index, e.Term, e.Data, first.Term, first.Data)
	}
	h.committed[e.Index] = e
	h.highestApplied = max(h.highestApplied, e.Index)
	h.applied.Index, h.applied.Term = e.Index, e.Term
	h.sinceSnapshot++
	switch e.Kind {
	case disk.Command:
		h.commands = append(h.commands, string(e.Data))
	case disk.Membership:
		if !ok {
			h.checkNewVoters(h.applied.Members, e.Data)
		}
		h.applied.Members = e.Data
		h.logf("%s: applies members %s", h.id, e.Data)
	case disk.NoOp:
	}
	if p, ok := h.pending[e.Index]; ok && p.term == e.Term {
		h.acked = append(h.acked, p.command)
	}
	delete(h.pending, e.Index)
}

// checkNewVoters checks that every new voter has a log.
func (h *simHost) checkNewVoters(before, after []byte) {
	old, err := decodeMembers(before)
	if err != nil {
		h.failf("%v", err)
	}
	members, err := decodeMembers(after)
	if err != nil {
		h.failf("%v", err)
	}
	for _, x := range h.hosts {
		if x.node == nil || old == nil || old.isVoter(x.node.Self) {
			continue
		}
		if members.isVoter(x.node.Self) && !x.node.formed() {
			h.failf("%s: %v became a voter without a log", h.id, x.node.Self)
		}
	}
}

func (h *simHost) snapshotIfDue() {
	if h.node == nil || h.sinceSnapshot < 8 || h.node.SendingSnapshot() {
		return
	}
	h.sinceSnapshot = 0
	w, err := h.writer.store.CreateSnapshot(h.applied)
	if err != nil {
		return
	}
	if json.NewEncoder(w).Encode(h.commands) != nil {
		return
	}
	info, err := w.Finish()
	if err != nil {
		return // a full disk, or one that fails to sync
	}
	h.handle(h.node.Compact(h.localTime(), info, h.keepEntries))
}

func (h *simHost) restore(info disk.SnapshotInfo) {
	f, err := h.writer.store.OpenSnapshot(info)
	if err != nil {
		h.failf("%s: %v", h.id, err)
	}
	defer f.Close()
	data, err := io.ReadAll(f)
	if err == nil {
		h.commands = nil
		err = json.Unmarshal(data, &h.commands)
	}
	if err != nil {
		h.failf("%s: restore: %v", h.id, err)
	}
	h.applied, h.sinceSnapshot = info, 0
	h.logf("%s: restores snapshot %d", h.id, info.Index)
}

func (h *simHost) propose() {
	if h.node == nil || h.frozenUntil > 0 {
		return
	}
	h.proposals++
	command := fmt.Sprintf("c%d", h.proposals)
	first, out := h.node.Propose(h.localTime(), [][]byte{[]byte(command)})
	if first > 0 {
		h.pending[first] = simProposal{term: h.node.Term(), command: command}
	}
	h.handle(out)
}

func (h *simHost) read() {
	if h.node == nil || h.frozenUntil > 0 {
		return
	}
	h.readID++
	h.readFloor[h.readID] = h.highestApplied
	h.handle(h.node.ReadIndex(h.localTime(), h.readID))
}

func (s *sim) leader() *simHost {
	var best *simHost
	for _, h := range s.hosts {
		if h.node != nil && h.node.Role() == Leader && (best == nil || h.node.Term() > best.node.Term()) {
			best = h
		}
	}
	return best
}

// fullyReplicated returns whether the members are the current incarnations of
// all hosts and have all committed entries.
func (s *sim) fullyReplicated() bool {
	l := s.leader()
	return l != nil && l.node.membersIndex <= l.node.commit && len(l.node.members) == len(s.hosts) && s.othersComplete(nil)
}

// othersComplete returns whether all hosts except one are voters with all
// committed entries. The disk of the excepted host may then be lost, even while
// that host is being replaced.
func (s *sim) othersComplete(except *simHost) bool {
	l := s.leader()
	if l == nil {
		return false
	}
	for _, h := range s.hosts {
		if h == except {
			continue
		}
		if h.node == nil || !l.node.members.isVoter(h.node.Self) || h.node.log.stable < s.highestApplied || len(l.node.incarnations(h.id)) != 1 {
			return false
		}
		// Damage to the last write is taken for a torn write, and may have lost
		// entries, a term or a vote.
		behind := h.node.durableHardState.Term < l.node.Term() || h.node.log.stable < l.node.log.last()
		if h.node.Self.Incarnation == h.corrupted && behind {
			return false
		}
	}
	return true
}

// clearFaults ends all faults and restarts hosts that are down.
func (s *sim) clearFaults() {
	s.logf("faults end")
	s.net.Heal()
	s.net.ClearImpairments()
	for _, h := range s.hosts {
		h.disk.FailSync(false)
		h.disk.SetCapacity(0)
		h.syncTime = 2 * time.Millisecond
		h.setRate(1)
		if h.node == nil {
			h.restartAt = s.now
		}
		h.frozenUntil = min(h.frozenUntil, s.now+1)
	}
}

// checkRecovery ends all faults and checks that the group is fully replicated
// within 11 s, that it then commits a proposal within 1 s, that all hosts have
// applied the same commands, and that every acknowledged command was applied
// exactly once.
func (s *sim) checkRecovery() {
	s.clearFaults()
	s.run(time.Second)
	deadline := s.now + 10*time.Second
	for !s.fullyReplicated() {
		if s.now >= deadline {
			s.failf("not fully replicated 11 s after the faults ended: %s", s.describe())
		}
		s.run(100 * time.Millisecond)
	}
	l := s.leader()
	l.propose()
	command := fmt.Sprintf("c%d", s.proposals)
	s.run(time.Second)
	if !slices.Contains(s.acked, command) {
		s.failf("proposal not committed within 1 s: %s", s.describe())
	}
	s.checkCommands()
}

func (s *sim) describe() string {
	text := fmt.Sprintf("highest applied %d; ", s.highestApplied)
	for _, h := range s.hosts {
		if h.node == nil {
			text += h.id + " down; "
			continue
		}
		text += fmt.Sprintf("%s %d %v term %d commit %d last %d stable %d base %d members %v; ", h.id, h.node.Self.Incarnation%1000, h.node.Role(), h.node.Term(), h.node.commit, h.node.log.last(), h.node.log.stable, h.node.log.base.Index, h.node.members)
	}
	return text
}

func (s *sim) checkCommands() {
	want := s.hosts[0].commands
	for _, h := range s.hosts {
		if !slices.Equal(h.commands, want) {
			s.failf("applied commands differ: %v and %v", h.commands, want)
		}
	}
	count := map[string]int{}
	for _, c := range want {
		count[c]++
	}
	for _, c := range s.acked {
		if count[c] != 1 {
			s.failf("acknowledged command %s was applied %d times, want 1", c, count[c])
		}
	}
}
