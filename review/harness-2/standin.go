package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Names in the configurations of the cases.
const (
	hostName     = "programs.example"
	modelService = "model"
	turnPath     = "/turn/"
)

// modelServer is a sound model server: it answers each turn with a few events.
type modelServer struct {
	id, address string
	events      int
	slots       int
	server      *http.Server
	pause       atomic.Int64 // before the first event
	mu          sync.Mutex
	requests    map[string]bool // that have run
	ran         atomic.Int64
	padding     string       // of an event
	bodies      atomic.Int64 // bytes of the longest body
}

const tokensPerEvent = 18

func (s *modelServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Sycamoreline-Request-Id")
	w.Header().Set("X-Sycamoreline-Request-Id", id)
	if expected := r.Header.Get("X-Sycamoreline-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Sycamoreline-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/health") {
		w.Header().Set("X-Sycamoreline-Instance-Id", s.id)
		return
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	s.bodies.Store(max(s.bodies.Load(), n))
	s.ran.Add(1)
	s.mu.Lock()
	s.requests[id] = true
	s.mu.Unlock()
	if !s.wait(r.Context()) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Sycamoreline-Response-Signature", "sig."+id)
	for i := range min(s.events, mostTokens(r)/tokensPerEvent) {
		fmt.Fprintf(w, "id: %d\ndata: word %d of %s%s\n\n", i+1, i+1, id, s.padding)
		_ = http.NewResponseController(w).Flush()
	}
}

// setPause sets the time that turns take from now on before their first event.
func (s *modelServer) setPause(d time.Duration) { s.pause.Store(int64(d)) }

// wait returns false if the request has ended meanwhile.
func (s *modelServer) wait(ctx context.Context) bool {
	d := time.Duration(s.pause.Load())
	if d == 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// hasRun reports whether the server has run a request.
func (s *modelServer) hasRun(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests[id]
}

// ran returns the number of requests that the servers have run.
func (d *deployment) ran() int64 {
	sum := int64(0)
	for _, s := range d.servers {
		sum += s.ran.Load()
	}
	return sum
}

// mostTokens returns the number of tokens that a request may generate.
func mostTokens(r *http.Request) int {
	_, most, _ := strings.Cut(r.Header.Get("X-Sycamoreline-Token-Usage"), ",")
	n, _ := strconv.Atoi(most)
	return n
}

// startServers starts model servers, which announce themselves until the context
// ends.
func (d *deployment) startServers(ctx context.Context, count, events, slots int) ([]*modelServer, error) {
	var out []*modelServer
	for i := range count {
		s := &modelServer{id: fmt.Sprintf("i-%d", i+1), address: net.JoinHostPort(d.network+strconv.Itoa(101+i), strconv.Itoa(serverPort)), events: events, slots: slots, requests: map[string]bool{}}
		if events > minEvents {
			s.padding = strings.Repeat(".", 600)
		}
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.address)
		if err != nil {
			return nil, err
		}
		s.server = &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
		go func() { _ = s.server.Serve(l) }()
		go d.announce(ctx, s)
		out = append(out, s)
	}
	return out, nil
}

func (d *deployment) announce(ctx context.Context, s *modelServer) {
	born := time.Now().UnixMilli()
	for sequence := 1; ctx.Err() == nil; sequence++ {
		body, _ := json.Marshal(map[string]any{
			"service": modelService, "address": s.address, "zone": "zone-1", "version": "v1", "slots": s.slots, "state": "ready",
			"cold_remaining_ms": 0, "stage": "dual", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
			"sequence": sequence, "born": born,
		})
		if status, _, err := d.control(ctx, http.MethodPut, "/instances/"+s.id, body); (err != nil || status != http.StatusOK) && ctx.Err() == nil && sequence > 3 {
			d.record.printf("heartbeat of %s not acknowledged: status %d, %v", s.id, status, err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// configuration returns a configuration with a route for turns that are kept.
func configuration(version, extraRoutes int, padding string) []byte {
	return configurationFor(version, extraRoutes, padding, defaultSlots)
}

// defaultSlots is the number of turns that a model server runs at the same time.
const defaultSlots = 24

func configurationFor(version, extraRoutes int, padding string, slots int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"version":%d,"routes":[{"name":"r-turn","host":%q,"path_prefix":%q,"kind":"stream","timeout_ms":4000,"target_latency_ms":250,"priority":0,"service":%q,`+
		`"max_attempts":1,"retain_history":true,"retention_s":60.0,"sticky":true,"resumable":false,"target_gap_ms":400}`, version, hostName, turnPath, modelService)
	for i := range extraRoutes {
		fmt.Fprintf(&b, `,{"name":"r-%s%d","host":"more.example","path_prefix":"/%s%d/","kind":"idempotent","timeout_ms":%d,"target_latency_ms":100,"priority":1,"service":%q,"max_attempts":2}`,
			padding, i, padding, i, 1000+version%7, modelService)
	}
	fmt.Fprintf(&b, `],"services":[{"name":%q,"health_path":"/health","max_connections":429,"protocol":"h1","tls":false,"engine":{"slots":%d,"kv_cache_tokens":760200,"kv_token_bytes":163840,`+
		`"link_mbps":1500000.0,"moves":true,"backups":true,"tokens_per_event":%d,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, modelService, slots, tokensPerEvent)
	return b.Bytes()
}

// turn is a request of a client.
type turn struct {
	id, program, session, previous string
	body                           []byte
	budget, most                   int
	promptTokens                   int
}

// answer is what a client has received.
type answer struct {
	status   int
	body     string
	complete bool
}

// send sends a turn to an entry host on a connection of the client.
func (d *deployment) send(ctx context.Context, c *http.Client, entry *process, t turn) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, 4500*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.address(callerPort)+turnPath+"x", bytes.NewReader(t.body))
	if err != nil {
		return answer{}, err
	}
	r.Host = hostName
	h := r.Header
	h.Set("X-Sycamoreline-Request-Id", t.id)
	h.Set("X-Sycamoreline-Program-Id", t.program)
	h.Set("X-Sycamoreline-Session-Id", t.session)
	h.Set("X-Sycamoreline-Program-Deadline-Ms", "20000")
	h.Set("X-Sycamoreline-Deadline-Ms", "4000")
	h.Set("X-Sycamoreline-Model", "m")
	h.Set("X-Sycamoreline-Token-Budget", strconv.Itoa(t.budget))
	h.Set("X-Sycamoreline-Token-Usage", fmt.Sprintf("%d,%d", max(1, t.promptTokens), t.most))
	h.Set("X-Sycamoreline-Prompt-Prefix", "5c1e07a2:800,"+t.session+":100")
	if t.previous != "" {
		h.Set("X-Sycamoreline-Previous-Turn", t.previous)
	}
	resp, err := c.Do(r)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, body: string(text), complete: err == nil}, nil
}

// retry sends a turn like a client: again with another id after a refusal that
// promises that it has not run. It returns the id that was answered whole.
func (d *deployment) retry(ctx context.Context, c *http.Client, entry *process, t turn, tries int) (string, error) {
	id := t.id
	var lastErr error
	for i := range tries {
		t.id = fmt.Sprintf("%s-%d", id, i)
		a, err := d.send(ctx, c, entry, t)
		switch {
		case err != nil:
			lastErr = err
		case a.status == http.StatusOK && a.complete:
			return t.id, nil
		default:
			lastErr = fmt.Errorf("status %d, complete %t: %.200s", a.status, a.complete, a.body)
		}
		if ctx.Err() != nil {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	return "", lastErr
}

// statuses counts answers by status.
type statuses struct {
	mu     sync.Mutex
	counts map[string]int
}

func (s *statuses) add(a answer, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts == nil {
		s.counts = map[string]int{}
	}
	key := strconv.Itoa(a.status)
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		key = "timeout"
	case err != nil:
		key = "closed"
	case !a.complete:
		key += " cut"
	}
	s.counts[key]++
}

func (s *statuses) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprint(s.counts)
}

func newClient(connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections, MaxConnsPerHost: connections, IdleConnTimeout: 10 * time.Second}}
}

// text returns n bytes that compress well.
func text(n int) []byte {
	return []byte(strings.Repeat("the record turns and the needle sings; ", n/39+1)[:n])
}
