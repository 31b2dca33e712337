package operator

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Print writes the status as tables.
func (s Status) Print(w io.Writer) error {
	fmt.Fprintf(w, "configuration revision %d, in force everywhere up to %d\n\n", s.Revision, s.InForce)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "CONTROL HOST\tGROUP\tROLE\tAPPLIED")
	for _, c := range s.ControlHosts {
		role := "follower"
		if c.Leader {
			role = "leader"
		}
		fmt.Fprintf(t, "%s\t%d\t%s\t%d\n", c.Host, c.Group, role, c.Applied)
	}
	fmt.Fprintln(t, "\nENTRY HOST\tDATA CENTRE\tADDRESS\tLEASE\tREVISION\tQUEUED\tRUNNING")
	for _, e := range s.EntryHosts {
		fmt.Fprintf(t, "%s\t%s\t%s\t%dms\t%d\t%d\t%d\n", e.Host, e.DataCentre, e.Address, e.LeaseMillis, e.AppliedRevision, e.Queued, e.Running)
	}
	fmt.Fprintln(t, "\nSERVER\tKIND\tDATA CENTRE\tADDRESS\tSERVES\tRUNNING\tSLOTS\tSTATE")
	for _, v := range s.Servers {
		state := "serving"
		if v.Leaving {
			state = "leaving"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\n", v.Server, v.Kind, v.DataCentre, v.Address, strings.Join(v.Serves, ","), v.Running, v.Slots, state)
	}
	return t.Flush()
}
