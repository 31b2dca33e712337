package main

import (
	"fmt"
	"io"
	"time"

	"github.com/sycamoreline/sycamoreline/caller"
)

// printEvent prints one event of a run as text.
func printEvent(w io.Writer, e caller.Event) {
	switch {
	case e.Opened != nil:
		fmt.Fprintf(w, "program %s opened: class %s, budget %d tokens and %d calls, deadline %s\n",
			e.Program, e.Opened.Class, e.Opened.Budget.Tokens, e.Opened.Budget.Calls,
			time.UnixMilli(e.Opened.Deadline).UTC().Format(time.RFC3339))
	case e.Model != nil:
		for _, m := range e.Model.Messages {
			fmt.Fprintf(w, "%-5s %s: %s\n", e.Step, m.Role, m.Content)
		}
		u := e.Model.Answer.Usage
		fmt.Fprintf(w, "%-5s %s: %s\n", e.Step, e.Model.Model, e.Model.Answer.Text)
		fmt.Fprintf(w, "%-5s (%d prompt tokens, %d of them cached; %d answer tokens)\n",
			"", u.PromptTokens, u.CachedTokens, u.OutputTokens)
	case e.Tool != nil:
		fmt.Fprintf(w, "%-5s %s/%s: %s\n", e.Step, e.Tool.Service, e.Tool.Operation, e.Tool.Body)
	case e.Pause != "":
		fmt.Fprintf(w, "%-5s pause of %s\n", e.Step, e.Pause)
	case e.Ended != nil:
		fmt.Fprintf(w, "program %s %s: %d of %d tokens and %d of %d calls used\n", e.Program, e.Ended.Status,
			e.Ended.Spent.Tokens, e.Ended.Budget.Tokens, e.Ended.Spent.Calls, e.Ended.Budget.Calls)
	}
}
