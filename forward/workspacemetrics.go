package forward

import (
	"sync"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/route"
	"github.com/sycamoreline/sycamoreline/verdict"
)

const (
	// maxWorkspaceLabels bounds the workspaces with metrics of their own, since
	// metrics are kept until the process ends. Others are counted together.
	maxWorkspaceLabels = 200
	otherWorkspaces    = "other-workspaces"
)

// workspaceLabels assigns the values of the label workspace.
type workspaceLabels struct {
	mu    sync.Mutex
	known map[string]bool
}

// label returns the value of the label for a workspace.
func (l *workspaceLabels) label(name string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.known[name] && len(l.known) >= maxWorkspaceLabels {
		return otherWorkspaces
	}
	if l.known == nil {
		l.known = map[string]bool{}
	}
	l.known[name] = true
	return name
}

// names returns the workspaces with a label of their own.
func (l *workspaceLabels) names() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	names := make([]string, 0, len(l.known))
	for name := range l.known {
		names = append(names, name)
	}
	return names
}

// workspace returns the scope of the workspace of a call, or one that is not reported.
func (m *callMetrics) workspace(w *route.Workspace) tally.Scope {
	if w == nil {
		return tally.NoopScope
	}
	return m.scope.Tagged(map[string]string{"workspace": m.labels.label(w.Name)})
}

// requested counts a request of a workspace.
func (m *callMetrics) requested(c *Call) {
	m.workspace(c.Workspace).Counter("workspace-requested").Inc(1)
}

// workspaceServed counts a request of a workspace that a server has answered.
func (m *callMetrics) workspaceServed(c *Call) {
	m.workspace(c.Workspace).Counter("workspace-served").Inc(1)
}

// workspaceEnded counts a request of a workspace without a complete answer: refused if
// it has not run, or else failed.
func (m *callMetrics) workspaceEnded(c *Call, v verdict.Verdict, reason verdict.Reason) {
	name := "workspace-failed"
	if v == verdict.NotRun {
		name = "workspace-refused"
	}
	m.workspace(c.Workspace).Tagged(map[string]string{"reason": string(reason)}).Counter(name).Inc(1)
}

// limits reports the limits of the workspaces of a table, which are 0 without a limit.
func (m *callMetrics) limits(x *route.Index) {
	set := func(label string, perSecond, burst float64) {
		s := m.scope.Tagged(map[string]string{"workspace": label})
		s.Gauge("workspace-limit-per-second").Update(perSecond)
		s.Gauge("workspace-limit-burst").Update(burst)
	}
	inForce := map[string]bool{}
	for _, w := range x.Workspaces() {
		inForce[w.Name] = true
		if label := m.labels.label(w.Name); label != otherWorkspaces {
			set(label, w.PerSecond, w.Burst)
		}
	}
	for _, name := range m.labels.names() {
		if !inForce[name] {
			set(name, 0, 0)
		}
	}
}

// workspaceField returns the log field of the workspace of a call.
func workspaceField(c *Call) zap.Field {
	if c.Workspace == nil {
		return zap.Skip()
	}
	return zap.String("workspace", c.Workspace.Name)
}
