package load

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sycamoreline/sycamoreline/caller"
	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/pause"
	"github.com/sycamoreline/sycamoreline/verdict"
)

const (
	progressInterval = time.Second
	// deadlineGrace is the time from the deadline of a program until it is
	// cancelled.
	deadlineGrace    = 10 * time.Second
	endFailedTimeout = 2 * time.Second
	// tokenBudget covers 88 turns, each of which repeats the history.
	tokenBudget         = 4_000_000
	maxIdleConnsPerHost = 4096
)

// Option configures a run.
type Option func(*generator)

// WithTransport replaces the HTTP transport, which uses TCP by default.
func WithTransport(t http.RoundTripper) Option {
	return func(g *generator) { g.transport = t }
}

// generator runs the programs of a plan.
type generator struct {
	settings  Settings
	transport http.RoundTripper
	clients   []*caller.Client // one for each entry host, which it tries first
	recorder  *recorder
	keyPrefix string
	running   chan struct{} // semaphore of MaxRunning programs
	startTime time.Time
}

// Run runs the programs of the plan and writes a line of progress every second.
// When ctx ends, it returns the measurements so far.
func Run(ctx context.Context, s Settings, progress io.Writer, opts ...Option) (Result, error) {
	if err := s.Check(); err != nil {
		return Result{}, err
	}
	credential, err := readCredential(s.CredentialFile)
	if err != nil {
		return Result{}, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, DisableCompression: true}
	defer transport.CloseIdleConnections()
	g := &generator{
		settings:  s,
		transport: transport,
		recorder:  newRecorder(s),
		keyPrefix: s.Run,
		running:   make(chan struct{}, s.MaxRunning),
		startTime: time.Now(),
	}
	for _, o := range opts {
		o(g)
	}
	if g.keyPrefix == "" {
		g.keyPrefix = rand.Text()
	}
	httpClient := &http.Client{Transport: &meteredTransport{next: g.transport, recorder: g.recorder}}
	for i := range s.EntryHosts {
		hosts := append(slices.Clone(s.EntryHosts[i:]), s.EntryHosts[:i]...)
		g.clients = append(g.clients, caller.NewClient(hosts, credential,
			caller.WithAttempts(s.Attempts), caller.WithHTTPClient(httpClient)))
	}
	stop := g.reportProgress(progress)
	g.runPlan(ctx, Plan(s))
	stop()
	return g.recorder.summary(ctx.Err() != nil), nil
}

func readCredential(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("field \"credential-file\": %w", err)
	}
	return strings.TrimSpace(string(data)), nil
}

// runPlan starts every program at its scheduled time and waits for all of them.
func (g *generator) runPlan(ctx context.Context, plan []Arrival) {
	var programs sync.WaitGroup
	defer programs.Wait()
	for n, a := range plan {
		if !pause.For(ctx, time.Until(g.startTime.Add(a.At))) {
			return
		}
		crest := g.settings.inCrest(a.At)
		g.recorder.countProgram(crest, func(p *Programs) { p.Scheduled++ })
		select {
		case g.running <- struct{}{}:
			programs.Go(func() {
				defer func() { <-g.running }()
				g.runProgram(ctx, n, a, crest)
			})
		default:
			g.recorder.countProgram(crest, func(p *Programs) { p.NotStarted++ })
		}
	}
}

// runProgram runs one program and counts its outcome.
func (g *generator) runProgram(ctx context.Context, n int, a Arrival, crest bool) {
	deadline := g.settings.Deadline.D()
	arrived := g.startTime.Add(a.At)
	ctx, cancel := context.WithDeadline(ctx, arrived.Add(deadline+deadlineGrace))
	defer cancel()
	p := &program{
		generator: g, client: g.clients[n%len(g.clients)], arrival: a,
		key: fmt.Sprintf("%s-%d", g.keyPrefix, n), nextDue: arrived,
	}
	err := p.run(ctx)
	elapsed := time.Since(arrived)
	switch {
	case err == nil:
		g.recorder.recordLatency(a.Kind, elapsed-p.totalPause)
		g.recorder.countProgram(crest, func(c *Programs) {
			c.Finished++
			if elapsed <= deadline {
				c.InDeadline++
			}
		})
	case p.id == "" && verdict.Of(err) == verdict.NotRun:
		g.recorder.countProgram(crest, func(c *Programs) { c.Refused++ })
	default:
		g.recorder.countProgram(crest, func(c *Programs) { c.Failed++ })
	}
}

// program is the state of a running program.
type program struct {
	*generator
	client     *caller.Client
	arrival    Arrival
	key        string
	id         string
	nextDue    time.Time // scheduled time of the next request
	totalPause time.Duration
}

func (p *program) run(ctx context.Context) error {
	state, err := p.client.Open(ctx, p.key+"-open", "", struct {
		Class    ledger.Class  `json:"class"`
		Budget   ledger.Budget `json:"budget"`
		Deadline float64       `json:"deadline-seconds"`
	}{p.arrival.Kind.class(), ledger.Budget{Tokens: tokenBudget, Calls: int64(len(p.arrival.Steps))}, p.settings.Deadline.D().Seconds()})
	if err != nil {
		return err
	}
	p.id = state.Program
	for i, s := range p.arrival.Steps {
		if err := p.step(ctx, i, s); err != nil {
			p.endFailed(ctx)
			return err
		}
	}
	_, err = p.client.End(ctx, p.id, ledger.ProgramDone)
	return err
}

// endFailed ends a failed program, which would otherwise hold engine memory until
// its deadline.
func (p *program) endFailed(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endFailedTimeout)
	defer cancel()
	_, _ = p.client.End(ctx, p.id, ledger.ProgramFailed)
}

// class returns Interactive for programs whose user waits at a kiosk.
func (k Kind) class() ledger.Class {
	if k == KioskLookup {
		return ledger.Interactive
	}
	return ledger.Standard
}

func (p *program) step(ctx context.Context, i int, s Step) error {
	if i > 0 {
		p.nextDue = time.Now().Add(s.Pause)
		p.totalPause += s.Pause
	}
	if !pause.For(ctx, time.Until(p.nextDue)) {
		return ctx.Err()
	}
	err := p.call(ctx, fmt.Sprintf("%s-%d", p.key, i+1), s)
	outcome := "ok"
	if err != nil {
		outcome = verdict.Of(err).String()
	}
	p.recorder.countCall(outcome)
	return err
}

var errToolFailed = errors.New("tool call failed")

func (p *program) call(ctx context.Context, key string, s Step) error {
	if s.Operation != "" {
		body := map[string]string{"program": p.key}
		answer, err := p.client.Tool(ctx, p.id, key, p.settings.Service, s.Operation, &s.Idempotent, body)
		if err == nil && answer.Status >= http.StatusBadRequest {
			err = errToolFailed
		}
		return err
	}
	times := &streamTimes{kind: p.arrival.Kind, due: p.nextDue}
	_, err := p.client.Model(withStreamTimes(ctx, times), p.id, key, struct {
		Model     string           `json:"model"`
		Messages  []ledger.Message `json:"messages"`
		MaxTokens int              `json:"max-tokens"`
		Stream    bool             `json:"stream"`
	}{p.settings.Model, []ledger.Message{{Role: "user", Content: s.Content}}, p.settings.MaxTokens, true})
	return err
}

// reportProgress writes a line every second. The returned function stops it and
// waits until it has stopped.
func (g *generator) reportProgress(w io.Writer) func() {
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				p := g.recorder.programCounts()
				fmt.Fprintf(w, "%3.0fs: %d arrived, %d finished, %d refused, %d failed, %d not started, %d running\n",
					time.Since(g.startTime).Seconds(), p.Scheduled, p.Finished, p.Refused, p.Failed, p.NotStarted, len(g.running))
			}
		}
	}()
	return func() {
		close(stop)
		<-done
	}
}
