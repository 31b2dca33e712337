// Package limits summarises the limits of workspaces that are in force, and what
// became of their requests, from the metrics pages of running hosts. Start with Read
// and Summary.Write.
package limits

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
)

// Names of the metrics.
const (
	metricPerSecond = "sycamoreline_workspace_limit_per_second"
	metricBurst     = "sycamoreline_workspace_limit_burst"
	metricRequested = "sycamoreline_workspace_requested"
	metricServed    = "sycamoreline_workspace_served"
	metricRefused   = "sycamoreline_workspace_refused"
	metricFailed    = "sycamoreline_workspace_failed"
	metricTable     = "sycamoreline_table_version"
	metricLeads     = "sycamoreline_log_leads"
	labelWorkspace  = "workspace"
	labelReason     = "reason"
)

// Summary is the sum of the pages of some hosts.
type Summary struct {
	pages      int
	tables     map[float64][]string // hosts by version of the routing table
	leader     string               // control host that counts the requests, or empty
	workspaces map[string]*workspace
}

// workspace is what the hosts report of a workspace.
type workspace struct {
	perSecond, burst  []float64 // distinct values, which differ while a table spreads
	requested, served float64
	refused, failed   map[string]float64 // by reason
}

// New returns the summary of no page.
func New() *Summary {
	return &Summary{tables: map[float64][]string{}, workspaces: map[string]*workspace{}}
}

// Read adds the metrics page of a host. It returns an error if it is not readable.
func (s *Summary) Read(host string, page io.Reader) error {
	var parser expfmt.TextParser
	families, err := parser.TextToMetricFamilies(page)
	if err != nil {
		return fmt.Errorf("metrics of %s: %w", host, err)
	}
	s.pages++
	for _, name := range slices.Sorted(maps.Keys(families)) {
		for _, m := range families[name].GetMetric() {
			s.add(host, name, m)
		}
	}
	return nil
}

func (s *Summary) add(host, name string, m *dto.Metric) {
	value := m.GetGauge().GetValue() + m.GetCounter().GetValue() + m.GetUntyped().GetValue()
	switch name {
	case metricTable:
		s.tables[value] = append(s.tables[value], host)
		return
	case metricLeads:
		if value == 1 {
			s.leader = host
		}
		return
	}
	labels := map[string]string{}
	for _, l := range m.GetLabel() {
		labels[l.GetName()] = l.GetValue()
	}
	if !strings.HasPrefix(name, "sycamoreline_workspace_") {
		return
	}
	w := s.workspaces[labels[labelWorkspace]]
	if w == nil {
		w = &workspace{refused: map[string]float64{}, failed: map[string]float64{}}
		s.workspaces[labels[labelWorkspace]] = w
	}
	switch name {
	case metricPerSecond:
		w.perSecond = insert(w.perSecond, value)
	case metricBurst:
		w.burst = insert(w.burst, value)
	case metricRequested:
		w.requested += value
	case metricServed:
		w.served += value
	case metricRefused:
		w.refused[labels[labelReason]] += value
	case metricFailed:
		w.failed[labels[labelReason]] += value
	}
}

// insert adds a value to a sorted list of distinct ones.
func insert(list []float64, v float64) []float64 {
	i, found := slices.BinarySearch(list, v)
	if found {
		return list
	}
	return slices.Insert(list, i, v)
}

// Write writes the summary as text, with a line for each workspace.
func (s *Summary) Write(out io.Writer) error {
	for _, version := range slices.Sorted(maps.Keys(s.tables)) {
		hosts := s.tables[version]
		fmt.Fprintf(out, "table %.0f in force on %d of %d hosts", version, len(hosts), s.pages)
		if len(s.tables) > 1 && len(hosts) <= 3 {
			fmt.Fprintf(out, ": %s", strings.Join(hosts, ", "))
		}
		fmt.Fprintln(out)
	}
	if s.leader != "" {
		fmt.Fprintf(out, "requests are counted by %s\n", s.leader)
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "workspace\tper second\tburst\trequested\tserved\trefused\tfailed")
	for _, name := range slices.Sorted(maps.Keys(s.workspaces)) {
		w := s.workspaces[name]
		fmt.Fprintf(t, "%s\t%s\t%s\t%.0f\t%.0f\t%s\t%s\n", name, limitText(w.perSecond), limitText(w.burst), w.requested, w.served, reasons(w.refused), reasons(w.failed))
	}
	return t.Flush()
}

// limitText returns the values of a limit, of which 0 means none.
func limitText(values []float64) string {
	var out []string
	for _, v := range values {
		if v == 0 {
			out = append(out, "none")
		} else {
			out = append(out, fmt.Sprintf("%g", v))
		}
	}
	if len(out) == 0 {
		return "-"
	}
	return strings.Join(out, "/")
}

// reasons returns the counts by reason, the highest first.
func reasons(counts map[string]float64) string {
	list := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	var out []string
	for _, r := range list {
		if counts[r] > 0 {
			out = append(out, fmt.Sprintf("%.0f %s", counts[r], r))
		}
	}
	if len(out) == 0 {
		return "0"
	}
	return strings.Join(out, ", ")
}
