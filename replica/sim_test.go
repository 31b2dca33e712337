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

// sim runs a group of hosts in virtual time on fake disks and a fake network,
// and checks the safety properties after every event.
type sim struct {
	t      *rapid.T
	random *rand.Rand
	net    *faults.Network[Message]
	now    time.Duration
	hosts  []*simHost

	leaders   map[uint64]Ref        // by term
	committed map[uint64]disk.Entry // by index, as first applied anywhere
	highestApplied      uint64                // highest index applied anywhere
	acked     []string              // commands whose proposer was answered
	proposals int
	readID    uint64
	readFloor map[uint64]uint64
	trace     []string
}

// simHost is one host. node is nil while it is down.
type simHost struct {
	*sim
	id     string
	disk   *faults.Disk
	node   *Node
	writer *writer

	nextTick   time.Duration
	restartAt  time.Duration
	frozen     time.Duration // until then
	inbox      []Message     // received while frozen
	rate       float64       // of the local clock
	rateSince  time.Duration
	elapsed    time.Duration // of the local clock, at rateSince
	jump       int64         // of the wall clock, in milliseconds
	syncTime   time.Duration
	queue      []write
	writing    bool
	writeDone  time.Duration
	keep       uint64
	corrupted  uint64 // incarnation whose log was corrupted last
	journal    []string
	applied    disk.SnapshotInfo
	sinceSaved int
	waiting    map[uint64]simProposal
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
		h := &simHost{sim: s, id: id, disk: faults.NewDisk(), rate: 1, syncTime: 2 * time.Millisecond, keep: 2}
		s.hosts = append(s.hosts, h)
		h.start()
	}
	return s
}

func (s *sim) logf(format string, args ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%8.3fs ", s.now.Seconds())+fmt.Sprintf(format, args...))
}

// failf fails with the last events before the failure.
func (s *sim) failf(format string, args ...any) {
	for _, l := range s.trace[max(0, len(s.trace)-60):] {
		s.t.Log(l)
	}
	s.t.Fatalf(format, args...)
}

func (h *simHost) local() Now {
	elapsed := h.elapsed + time.Duration(float64(h.now-h.rateSince)*h.rate)
	return Now{Elapsed: elapsed, UnixMillis: elapsed.Milliseconds() + h.jump}
}

func (h *simHost) setRate(rate float64) {
	h.elapsed, h.rateSince, h.rate = h.local().Elapsed, h.now, rate
}

func (h *simHost) start() {
	store, r, err := disk.Open(h.disk, "data", h.id, h.random.Uint64())
	if errors.Is(err, disk.ErrDamaged) {
		h.logf("%s: %v", h.id, err)
		if err := disk.SetAside(h.disk, "data", h.random.Uint64()); err != nil {
			h.failf("set aside: %v", err)
		}
		store, r, err = disk.Open(h.disk, "data", h.id, h.random.Uint64())
	}
	if errors.Is(err, faults.ErrSync) || errors.Is(err, syscall.ENOSPC) {
		h.down(200 * time.Millisecond)
		return
	}
	if err != nil {
		h.failf("%s: open: %v", h.id, err)
	}
	h.writer = &writer{store: store}
	h.queue, h.writing, h.inbox, h.waiting = nil, false, nil, map[uint64]simProposal{}
	h.nextTick, h.restartAt, h.frozen = h.now, 0, 0
	h.journal, h.sinceSaved = nil, 0
	h.applied = disk.SnapshotInfo{Index: r.Base.Index, Term: r.Base.Term, Members: r.Base.Members}
	if r.Snapshot.Index > 0 {
		h.restore(r.Snapshot)
	}
	self := Ref{ID: h.id, Incarnation: r.Identity.Incarnation}
	h.node, err = NewNode(h.local(), NodeOptions{Self: self, Initial: testIDs, Timing: simTiming, Random: h.random}, r)
	if err != nil {
		h.failf("%s: %v", h.id, err)
	}
	h.logf("%s: start %d term %d last %d", h.id, self.Incarnation%1000, h.node.hardState.Term, h.node.log.last())
}

// crash stops the host between two steps, or in the middle of a write, and
// starts it again later.
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
	h.down(after)
}

func (h *simHost) down(after time.Duration) {
	h.node, h.writing, h.queue, h.frozen = nil, false, nil, 0
	h.restartAt = h.now + after
}

// run lets virtual time pass.
func (s *sim) run(d time.Duration) {
	end := s.now + d
	for s.step(end) {
	}
	s.now = end
}

// step handles the next event up to end, and returns false if there is none.
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
		case h.frozen > 0:
			earlier(h.frozen, h.resume)
		default:
			earlier(h.nextTick, h.tick)
			if h.writing {
				earlier(h.writeDone, h.finishWrite)
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
	case h.frozen > 0:
		h.inbox = append(h.inbox, m)
	default:
		h.handle(h.node.Step(h.local(), m))
	}
}

func (s *sim) host(id string) *simHost {
	return s.hosts[slices.IndexFunc(s.hosts, func(h *simHost) bool { return h.id == id })]
}

// resume resumes a host, with its timers first or its messages first.
func (h *simHost) resume() {
	h.frozen = 0
	h.nextTick = h.now
	switch h.random.IntN(3) {
	case 0:
		h.tick()
	case 1:
		h.read() // before it learns how long it was frozen
	}
	inbox := h.inbox
	h.inbox = nil
	for _, m := range inbox {
		if h.node != nil {
			h.handle(h.node.Step(h.local(), m))
		}
	}
}

func (h *simHost) tick() {
	h.nextTick = h.now + simTick
	h.handle(h.node.Tick(h.local()))
}

// handle does what Group.handle does, in virtual time.
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
		h.apply(e)
	}
	for _, r := range out.Reads {
		if !r.Rejected && r.Index < h.readFloor[r.ID] {
			h.failf("%s: read %d at index %d, but %d was applied before it began", h.id, r.ID, r.Index, h.readFloor[r.ID])
		}
	}
	h.maybeSnapshot()
}

func (h *simHost) stopFatal(err error) {
	h.logf("%s: stops: %v", h.id, err)
	if !errors.Is(err, ErrRolledBack) {
		h.failf("%s: %v", h.id, err)
	}
	if err := disk.SetAside(h.disk, "data", h.random.Uint64()); err != nil {
		h.failf("set aside: %v", err)
	}
	h.down(50 * time.Millisecond)
}

func (h *simHost) send(ms []Message) {
	for _, m := range ms {
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
		h.writing, h.writeDone = true, h.now+h.syncTime
	}
}

func (h *simHost) finishWrite() {
	k, err := h.writer.writeNext(h.queue)
	if errors.Is(err, disk.ErrFull) {
		h.writeDone = h.now + 50*time.Millisecond
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
		h.down(100 * time.Millisecond)
		return
	}
	for _, w := range done {
		h.finished(w, err)
		if h.node == nil {
			return
		}
	}
}

func (h *simHost) finished(w write, err error) {
	if err != nil {
		h.handle(h.node.ChunkFailed(h.local(), w.persist))
		return
	}
	h.send(w.afterPersist)
	if !w.persist.empty() {
		h.handle(h.node.Persisted(h.local(), w.persist))
	}
}

func (h *simHost) apply(e disk.Entry) {
	if e.Index != h.applied.Index+1 {
		h.failf("%s: applies %d after %d", h.id, e.Index, h.applied.Index)
	}
	first, ok := h.committed[e.Index]
	if ok && (first.Term != e.Term || string(first.Data) != string(e.Data)) {
		h.failf("%s: entry %d is %d %q, but %d %q was committed", h.id, e.Index, e.Term, e.Data, first.Term, first.Data)
	}
	h.committed[e.Index] = e
	h.highestApplied = max(h.highestApplied, e.Index)
	h.applied.Index, h.applied.Term = e.Index, e.Term
	h.sinceSaved++
	switch e.Kind {
	case disk.Command:
		h.journal = append(h.journal, string(e.Data))
	case disk.Membership:
		if !ok {
			h.checkPromoted(h.applied.Members, e.Data)
		}
		h.applied.Members = e.Data
		h.logf("%s: applies members %s", h.id, e.Data)
	case disk.NoOp:
	}
	if p, ok := h.waiting[e.Index]; ok && p.term == e.Term {
		h.acked = append(h.acked, p.command)
	}
	delete(h.waiting, e.Index)
}

// checkPromoted checks that a new voter holds a log.
func (h *simHost) checkPromoted(before, after []byte) {
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

func (h *simHost) maybeSnapshot() {
	if h.node == nil || h.sinceSaved < 8 || h.node.SendingSnapshot() {
		return
	}
	h.sinceSaved = 0
	w, err := h.writer.store.CreateSnapshot(h.applied)
	if err != nil {
		return
	}
	if json.NewEncoder(w).Encode(h.journal) != nil {
		return
	}
	info, err := w.Finish()
	if err != nil {
		return // a full disk, or one that fails to sync
	}
	h.handle(h.node.Compact(h.local(), info, h.keep))
}

func (h *simHost) restore(info disk.SnapshotInfo) {
	f, err := h.writer.store.OpenSnapshot(info)
	if err != nil {
		h.failf("%s: %v", h.id, err)
	}
	defer f.Close()
	data, err := io.ReadAll(f)
	if err == nil {
		h.journal = nil
		err = json.Unmarshal(data, &h.journal)
	}
	if err != nil {
		h.failf("%s: restore: %v", h.id, err)
	}
	h.applied, h.sinceSaved = info, 0
	h.logf("%s: restores snapshot %d", h.id, info.Index)
}

func (h *simHost) propose() {
	if h.node == nil || h.frozen > 0 {
		return
	}
	h.proposals++
	command := fmt.Sprintf("c%d", h.proposals)
	first, out := h.node.Propose(h.local(), [][]byte{[]byte(command)})
	if first > 0 {
		h.waiting[first] = simProposal{term: h.node.Term(), command: command}
	}
	h.handle(out)
}

func (h *simHost) read() {
	if h.node == nil || h.frozen > 0 {
		return
	}
	h.readID++
	h.readFloor[h.readID] = h.highestApplied
	h.handle(h.node.ReadIndex(h.local(), h.readID))
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

// fullyReplicated returns whether the members are the present incarnations of all hosts
// and have all that was committed.
func (s *sim) fullyReplicated() bool {
	l := s.leader()
	return l != nil && l.node.membersIndex <= l.node.commit && len(l.node.members) == len(s.hosts) && s.othersComplete(nil)
}

// othersComplete returns whether all hosts but one are voters with all that was
// committed: then the disk of that one may be lost, in the middle of its
// repair too.
func (s *sim) othersComplete(but *simHost) bool {
	l := s.leader()
	if l == nil {
		return false
	}
	for _, h := range s.hosts {
		if h == but {
			continue
		}
		if h.node == nil || !l.node.members.isVoter(h.node.Self) || h.node.log.stable < s.highestApplied || len(l.node.incarnations(h.id)) != 1 {
			return false
		}
		// Damage of the last record looks like a torn write, and may have lost
		// entries, a term and a vote.
		behind := h.node.durableHardState.Term < l.node.Term() || h.node.log.stable < l.node.log.last()
		if h.node.Self.Incarnation == h.corrupted && behind {
			return false
		}
	}
	return true
}

// clearFaults ends all faults and starts what is down.
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
		h.frozen = min(h.frozen, s.now+1)
	}
}

// checkRecovery ends all faults and checks that the group becomes whole, takes a
// proposal within 10 s, and that no answered proposal is missing.
func (s *sim) checkRecovery() {
	s.clearFaults()
	s.run(time.Second)
	deadline := s.now + 10*time.Second
	for !s.fullyReplicated() {
		if s.now >= deadline {
			s.failf("not whole: %s", s.describe())
		}
		s.run(100 * time.Millisecond)
	}
	l := s.leader()
	l.propose()
	command := fmt.Sprintf("c%d", s.proposals)
	s.run(time.Second)
	if !slices.Contains(s.acked, command) {
		s.failf("no progress: %s", s.describe())
	}
	s.checkJournals()
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

func (s *sim) checkJournals() {
	want := s.hosts[0].journal
	for _, h := range s.hosts {
		if !slices.Equal(h.journal, want) {
			s.failf("journals differ: %v and %v", h.journal, want)
		}
	}
	count := map[string]int{}
	for _, c := range want {
		count[c]++
	}
	for _, c := range s.acked {
		if count[c] != 1 {
			s.failf("answered command %s is %d times in the journals", c, count[c])
		}
	}
}
