package operator

import (
	"bytes"
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/sycamoreline/sycamoreline/tree"
)

// Step is one difference between a folder and the tree.
type Step struct {
	Path    string
	Current *tree.Entry // nil if the path is to be created
	Write   tree.Write
}

// Plan lists the changes that make the tree equal to a folder.
type Plan struct {
	Steps []Step
	// Kept lists the paths that exist only in the tree and are not deleted.
	Kept []string
}

// NewPlan compares a folder with the current entries. Each step is
// conditional on the version that was compared. Without prune, paths that
// exist only in the tree are kept.
func NewPlan(f Folder, current []tree.Entry, prune bool) Plan {
	var p Plan
	entries := map[string]*tree.Entry{}
	for i, e := range current {
		if !e.Deleted {
			entries[e.Path] = &current[i]
		}
	}
	for path, value := range f {
		e := entries[path]
		if e == nil {
			p.add(Step{Path: path, Write: tree.Write{Path: path, Value: value}})
		} else if !bytes.Equal(canonical(e.Value), value) {
			p.add(Step{Path: path, Current: e, Write: tree.Write{Path: path, Value: value, IfVersion: e.Version}})
		}
	}
	for path, e := range entries {
		if _, ok := f[path]; ok {
			continue
		}
		if prune {
			p.add(Step{Path: path, Current: e, Write: tree.Write{Path: path, Delete: true, IfVersion: e.Version}})
		} else {
			p.Kept = append(p.Kept, path)
		}
	}
	sort.Slice(p.Steps, func(i, j int) bool { return p.Steps[i].Path < p.Steps[j].Path })
	sort.Strings(p.Kept)
	return p
}

func (p *Plan) add(s Step) { p.Steps = append(p.Steps, s) }

// Writes returns the writes of all steps.
func (p Plan) Writes() []tree.Write {
	writes := make([]tree.Write, len(p.Steps))
	for i, s := range p.Steps {
		writes[i] = s.Write
	}
	return writes
}

// Print writes the plan as text.
func (p Plan) Print(w io.Writer) {
	for _, s := range p.Steps {
		switch {
		case s.Current == nil:
			fmt.Fprintf(w, "+ %s\n    %s\n", s.Path, s.Write.Value)
		case s.Write.Delete:
			fmt.Fprintf(w, "- %s (version %d)\n    %s\n", s.Path, s.Current.Version, s.Current.Value)
		default:
			fmt.Fprintf(w, "~ %s (version %d)\n    from %s\n    to   %s\n", s.Path, s.Current.Version, s.Current.Value, s.Write.Value)
		}
	}
	if len(p.Kept) > 0 {
		fmt.Fprintf(w, "only in the tree, kept without -prune: %s\n", strings.Join(p.Kept, ", "))
	}
	if len(p.Steps) == 0 {
		fmt.Fprintln(w, "no difference")
	}
}
