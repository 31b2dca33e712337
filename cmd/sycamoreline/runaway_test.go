package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/caller"
	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/operator"
	"github.com/sycamoreline/sycamoreline/standin"
	"github.com/sycamoreline/sycamoreline/tree"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// maxPolls limits a wait to 10 s.
const maxPolls = 200

type openProgramBody struct {
	Budget          ledger.Budget `json:"budget"`
	DeadlineSeconds float64       `json:"deadline-seconds,omitempty"`
}

type modelCallBody struct {
	Model     string           `json:"model"`
	Messages  []ledger.Message `json:"messages"`
	MaxTokens int              `json:"max-tokens"`
}

func shortCall(text string) modelCallBody {
	return modelCallBody{Model: "pattern-7b", Messages: []ledger.Message{{Role: "user", Content: text}}, MaxTokens: 16}
}

// waitFor polls a condition until it holds, at most maxPolls times.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	ticks := time.NewTicker(readyPollInterval)
	defer ticks.Stop()
	for range maxPolls {
		if holds() {
			return
		}
		<-ticks.C
	}
	t.Fatalf("%s: condition not met after %d polls", what, maxPolls)
}

func programState(ctx context.Context, t *testing.T, d *localDeployment, program string) ledger.ProgramState {
	t.Helper()
	var s ledger.ProgramState
	(&processes{t: t}).getJSON(ctx, d.entryURLs()[1]+"/v1/programs/"+program, d.credentials["tailor-paws"], &s)
	return s
}

// setToolTimeout sets the timeout of a service in the configuration and waits
// until the change is in force on all entry hosts.
func setToolTimeout(ctx context.Context, t *testing.T, d *localDeployment, service string, seconds float64) {
	t.Helper()
	var urls []string
	for _, e := range d.entries {
		urls = append(urls, "http://"+e.OperatorListen)
	}
	client := operator.NewClient(urls, d.credentials[""], http.DefaultClient)
	_, err := client.Apply(ctx, tree.Change{ChangeID: rand.Text(), Writes: []tree.Write{
		{Path: "/services/" + service, Value: json.RawMessage(fmt.Sprintf(`{"timeout-seconds":%g}`, seconds))},
	}})
	assert.NilError(t, err)
	waitFor(t, "configuration in force", func() bool {
		s, err := client.Status(ctx)
		return err == nil && s.Revision > 0 && s.InForce
	})
}

// Guards against a hanging tool call that blocks its program, runs again when it
// is resent, or leaves budget reserved or engine memory held.
func TestToolThatHangs(t *testing.T) {
	d, _ := startLocal(t)
	ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
	defer cancel()
	setToolTimeout(ctx, t, d, "orders", 0.5)
	d.services["orders"].Faults().Set(standin.Faults{Hang: true})
	defer d.services["orders"].Faults().Set(standin.Faults{})

	urls := d.entryURLs()
	firstClient := caller.NewClient(urls[:1], d.credentials["tailor-paws"], caller.WithAttempts(1))
	secondClient := caller.NewClient(urls[1:], d.credentials["tailor-paws"], caller.WithAttempts(1))
	s, err := firstClient.Open(ctx, rand.Text(), "", openProgramBody{Budget: ledger.Budget{Tokens: 1000, Calls: 4}})
	assert.NilError(t, err)
	_, err = firstClient.Model(ctx, s.Program, rand.Text(), shortCall("measure the dog"))
	assert.NilError(t, err)
	assert.Equal(t, heldPrograms(d.engines), 1)

	key := rand.Text()
	body := json.RawMessage(`{"dog":"patch"}`)
	for i, c := range []*caller.Client{firstClient, firstClient, secondClient} {
		_, err := c.Tool(ctx, s.Program, key, "orders", "cut-order", nil, body)
		verdictErr := verdict.From(err)
		assert.Equal(t, verdictErr.Verdict(), verdict.MayHaveRun, "send %d: %v", i, err)
		assert.Equal(t, verdictErr.Reason(), verdict.Timeout, "send %d: %v", i, err)
		runs := d.services["orders"].Runs()
		assert.Equal(t, len(runs), 1, "send %d", i)
		assert.Equal(t, runs[0].Runs, 1, "send %d", i)
	}

	s, err = firstClient.End(ctx, s.Program, ledger.ProgramDone)
	assert.NilError(t, err)
	assert.Equal(t, s.Status, ledger.ProgramDone)
	assert.Equal(t, s.Reserved, ledger.Budget{})
	assert.Equal(t, s.Spent.Calls, int64(2))
	waitFor(t, "engine memory released", func() bool { return heldPrograms(d.engines) == 0 })
}

// Guards against an endless program that exceeds its budget, or that stays open
// after its deadline when its caller has stopped sending requests.
func TestProgramThatLoops(t *testing.T) {
	d, _ := startLocal(t)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	const maxLoops = 20
	tests := []struct {
		name   string
		budget ledger.Budget
	}{
		{name: "calls", budget: ledger.Budget{Tokens: 50_000, Calls: 3}},
		{name: "tokens", budget: ledger.Budget{Tokens: 150, Calls: 1000}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			client := caller.NewClient(d.entryURLs(), d.credentials["tailor-paws"], caller.WithAttempts(1))
			s, err := client.Open(ctx, rand.Text(), "", openProgramBody{Budget: tt.budget, DeadlineSeconds: 4})
			assert.NilError(t, err)
			answered := 0
			for err == nil && answered < maxLoops {
				if _, err = client.Model(ctx, s.Program, rand.Text(), shortCall("again")); err == nil {
					answered++
				}
			}
			assert.Assert(t, answered > 0 && answered < maxLoops, "%d calls answered: %v", answered, err)
			verdictErr := verdict.From(err)
			assert.Equal(t, verdictErr.Reason(), verdict.BudgetExceeded, "%v", err)
			assert.Equal(t, verdictErr.Verdict(), verdict.NotRun, "%v", err)
			s = programState(ctx, t, d, s.Program)
			assert.Equal(t, s.Status, ledger.ProgramOpen)
			assert.Equal(t, s.Spent.Calls, int64(answered))
			assert.Assert(t, s.Spent.Tokens <= tt.budget.Tokens, "%d tokens spent", s.Spent.Tokens)
			assert.Equal(t, s.Reserved, ledger.Budget{})
			assert.Equal(t, heldPrograms(d.engines), 1)

			waitFor(t, "program expired", func() bool {
				return programState(ctx, t, d, s.Program).Status == ledger.ProgramExpired
			})
			waitFor(t, "engine memory released", func() bool { return heldPrograms(d.engines) == 0 })
		})
	}
}
