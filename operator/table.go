package operator

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Print writes the status as tables.
func (s Status) Print(w io.Writer) error {
	fmt.Fprintf(w, "configuration revision %d, %s\n\n", s.Revision, s.inForceText())
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "ENTRY HOST\tDATA CENTRE\tADDRESS\tLEASE\tREVISION\tQUEUED\tRUNNING\tPHASE")
	for _, e := range s.EntryHosts {
		if e.Error != "" {
			fmt.Fprintf(t, "?\t?\t%s\t?\t?\t?\t?\tno answer\n", e.Address)
			continue
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n",
			e.Host, e.DataCentre, e.Address, leaseState(e.LeaseLive), e.AppliedRevision, e.Queued, e.Running, e.Phase)
	}
	fmt.Fprintln(t, "\nSERVER\tKIND\tDATA CENTRE\tADDRESS\tSERVES\tRUNNING\tSLOTS\tSTATE")
	for _, v := range s.Servers {
		state := "serving"
		if v.Leaving {
			state = "leaving"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\n", v.Server, v.Kind, v.DataCentre, v.Address, strings.Join(v.Serves, ","), v.Running, v.Slots, state)
	}
	if len(s.Groups) > 0 {
		fmt.Fprintln(t, "\nLOG GROUP\tCONTROL HOST\tROLE\tLEADER\tCOMMIT\tVOTERS\tLEARNERS")
	}
	for _, g := range s.Groups {
		fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%d\t%s\t%s\n",
			g.Group, g.Host, g.Role, g.Leader, g.Commit, strings.Join(g.Voters, ","), strings.Join(g.Learners, ","))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, e := range s.EntryHosts {
		if e.Error != "" {
			fmt.Fprintf(w, "\n%s: %s\n", e.Address, e.Error)
		}
	}
	return nil
}

func (s Status) inForceText() string {
	if s.InForce {
		return "in force everywhere"
	}
	return "not yet in force on " + strings.Join(s.Waiting, ", ")
}

func leaseState(live bool) string {
	if live {
		return "live"
	}
	return "expired"
}
