package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the processes. Each process has its own loopback address, so that the
// ports are the same on all of them, as on the platform.
const (
	peerPort    = 7380
	controlPort = 8144
	callerPort  = 8149
	healthPort  = 8141
	metricsPort = 9464
	serverPort  = 8080
)

// memory is the memory of the machines of a class in MB, as a site file names it.
type memory struct{ entry, control, ledger int }

// process is one process of the system.
type process struct {
	name, role, ip string
	memoryMB       int
	diskMB         int
	folder         string
	cmd            *exec.Cmd
	ended          chan struct{}

	mu       sync.Mutex
	highest  int64 // anonymous resident memory in bytes
	overAt   time.Duration
	finished bool
	ends     int // times that it was ended for its memory
}

func (p *process) address(port int) string { return net.JoinHostPort(p.ip, strconv.Itoa(port)) }

// deployment runs the processes of a small deployment on loopback addresses.
type deployment struct {
	started   time.Time
	program   string
	folder    string
	network   string // the first three numbers of all addresses
	processes []*process
	servers   []*modelServer
	record    *record
	client    *http.Client
	endOver   bool // processes over the memory of their machine are killed, and started again
	stopWatch context.CancelFunc
	watching  sync.WaitGroup
}

// newDeployment starts the processes with the commands of the deploy file.
func newDeployment(r *record, entries int, m memory, endOver bool) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs(filepath.Join("target", "sycamoreline-platform"))
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("the program is not built: %w", err)
	}
	network, err := freeNetwork()
	if err != nil {
		return nil, err
	}
	d := &deployment{started: time.Now(), program: program, folder: folder, network: network, record: r, endOver: endOver, client: &http.Client{
		Timeout:       5 * time.Second,
		Transport:     &http.Transport{MaxIdleConnsPerHost: 64},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
	for i := range 3 {
		d.add("core", "control", 11+i, m.control, 128)
	}
	for i := range 3 {
		d.add("store", "ledger", 21+i, m.ledger, 260)
	}
	for i := range entries {
		d.add("front", "entry", 31+i, m.entry, 0)
	}
	for _, p := range d.processes {
		if err := d.start(p, true); err != nil {
			return d, err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.stopWatch = cancel
	d.watching.Go(func() { d.watchMemory(ctx) })
	return d, nil
}

// freeNetwork returns the start of loopback addresses whose ports are free.
func freeNetwork() (string, error) {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d.", 16+rand.IntN(200), 1+rand.IntN(250))
		free := true
		for _, port := range []int{peerPort, controlPort, callerPort, healthPort, metricsPort, serverPort} {
			for _, host := range []int{11, 21, 31, 101} {
				l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", net.JoinHostPort(network+strconv.Itoa(host), strconv.Itoa(port)))
				if err != nil {
					free = false
					continue
				}
				l.Close()
			}
		}
		if free {
			return network, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

func (d *deployment) add(class, role string, host, memoryMB, diskMB int) {
	name := fmt.Sprintf("%s-%d", class, host%10)
	d.processes = append(d.processes, &process{
		name: name, role: role, ip: d.network + strconv.Itoa(host), memoryMB: memoryMB, diskMB: diskMB, folder: filepath.Join(d.folder, name),
	})
}

// of returns the processes of a role.
func (d *deployment) of(role string) []*process {
	var out []*process
	for _, p := range d.processes {
		if p.role == role {
			out = append(out, p)
		}
	}
	return out
}

// start starts a process, with the settings that deploy/settings.json.tmpl gives.
func (d *deployment) start(p *process, first bool) error {
	var seeds []string
	for _, c := range d.of("control") {
		seeds = append(seeds, c.address(controlPort))
	}
	settings := map[string]any{
		"host": p.name, "role": p.role, "ip": p.ip, "data-centre": "zone-" + p.name[len(p.name)-1:], "peer-port": peerPort, "seeds": seeds,
		"first-start": first, "tolerate": 1, "metrics-port": metricsPort, "memory-mb": p.memoryMB, "drain-seconds": 8,
		"deployment-key": "internal-network-of-the-platform", "log-level": "info",
	}
	listen := map[string]string{"callers": "", "health": "", "control": ""}
	switch p.role {
	case "entry":
		listen["callers"], listen["health"] = p.address(callerPort), p.address(healthPort)
	case "control":
		listen["control"] = p.address(controlPort)
	}
	settings["listen"] = listen
	if p.diskMB > 0 {
		settings["data-folder"], settings["disk-mb"] = filepath.Join(p.folder, "data"), p.diskMB
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Join(p.folder, "data"), 0o700); err != nil {
		return err
	}
	path := filepath.Join(p.folder, "settings.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.cmd = exec.CommandContext(context.Background(), d.program, p.role)
	p.cmd.Env = []string{"SYCAMORELINE_SETTINGS=" + path, "HOME=" + p.folder, "PATH=" + os.Getenv("PATH")}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// The process ends with this one, also if this one is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		close(ended)
	}(p.cmd, p.ended)
	return nil
}

// kill ends a process at once.
func (p *process) kill() {
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
}

// killed ends a process at once, as a disruption.
func (p *process) killed() {
	p.mu.Lock()
	p.finished = true
	p.mu.Unlock()
	p.kill()
}

// alive reports whether the process runs.
func (p *process) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// close ends all processes and removes their folder.
func (d *deployment) close() {
	if d.stopWatch != nil {
		d.stopWatch()
		d.watching.Wait()
	}
	for _, p := range d.processes {
		p.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println("kept:", d.folder)
	}
}

// anonymous returns the resident memory of a process that is not backed by a file.
func (p *process) anonymous() int64 {
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), "status"))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			return kb << 10
		}
	}
	return 0
}

// watchMemory records the highest memory of each process, and processes that end.
func (d *deployment) watchMemory(ctx context.Context) {
	t := time.NewTicker(50 * time.Millisecond)
	defer t.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		line := ""
		for _, p := range d.processes {
			n := p.anonymous()
			p.mu.Lock()
			p.highest = max(p.highest, n)
			if n > int64(p.memoryMB)<<20 && p.overAt == 0 {
				p.overAt = time.Since(d.started)
				d.record.printf("%s: %d MB of anonymous memory, more than the %d MB of its machine", p.name, n>>20, p.memoryMB)
			}
			if !p.finished && !p.alive() {
				p.finished = true
				d.record.printf("%s: the process has ended by itself: %v", p.name, p.cmd.ProcessState)
			}
			p.mu.Unlock()
			if d.endOver && n > int64(p.memoryMB)<<20 {
				d.endForMemory(p, n)
			}
			line += fmt.Sprintf(" %s %d", p.name, n>>20)
		}
		if time.Since(last) >= 5*time.Second {
			last = time.Now()
			d.record.printf("memory in MB:%s", line)
		}
	}
}

// endForMemory kills a process that uses more than the memory of its machine, and
// starts it again after a short delay, as the platform does.
func (d *deployment) endForMemory(p *process, used int64) {
	p.kill()
	p.mu.Lock()
	p.ends++
	d.record.printf("%s killed with %d of %d MB, time %d; its files take %d MB", p.name, used>>20, p.memoryMB, p.ends, folderSize(p.folder)>>20)
	p.mu.Unlock()
	time.Sleep(200 * time.Millisecond)
	if err := d.start(p, false); err != nil {
		d.record.printf("%s not started again: %v", p.name, err)
	}
}

// ended returns how many processes of a role were killed for their memory at least n times.
func (d *deployment) ended(role string, n int) int {
	count := 0
	for _, p := range d.of(role) {
		p.mu.Lock()
		if p.ends >= n {
			count++
		}
		p.mu.Unlock()
	}
	return count
}

// folderSize returns the bytes of all files in a folder.
func folderSize(folder string) int64 {
	var n int64
	_ = filepath.WalkDir(folder, func(_ string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() {
			return nil //nolint:nilerr // a file that is gone has no size
		}
		if i, err := e.Info(); err == nil {
			n += i.Size()
		}
		return nil
	})
	return n
}

// over returns the processes that have used more memory than their machine has.
func (d *deployment) over() []string {
	var out []string
	for _, p := range d.processes {
		p.mu.Lock()
		if p.overAt > 0 {
			out = append(out, fmt.Sprintf("%s (%d of %d MB)", p.name, p.highest>>20, p.memoryMB))
		}
		p.mu.Unlock()
	}
	return out
}

// summary records the highest memory of all processes.
func (d *deployment) summary() {
	for _, p := range d.processes {
		p.mu.Lock()
		d.record.printf("%s: at most %d MB of anonymous memory, its machine has %d MB; running: %t", p.name, p.highest>>20, p.memoryMB, p.alive())
		p.mu.Unlock()
	}
}

// control sends a request to the control API as operators and servers do: to one
// host after the other, following redirects.
func (d *deployment) control(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	var lastErr error
	hosts := d.of("control")
	first := rand.IntN(len(hosts))
	for i := range hosts {
		url := "http://" + hosts[(first+i)%len(hosts)].address(controlPort) + path
		for range 3 {
			status, location, answer, err := d.exchange(ctx, method, url, body)
			if err != nil {
				lastErr = err
				break
			}
			if status == http.StatusTemporaryRedirect {
				url = location
				continue
			}
			if status >= 500 {
				lastErr = fmt.Errorf("status %d: %s", status, answer)
				break
			}
			return status, answer, nil
		}
	}
	return 0, nil, lastErr
}

func (d *deployment) exchange(ctx context.Context, method, url string, body []byte) (status int, location string, answer []byte, err error) {
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, "", nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := d.client.Do(r)
	if err != nil {
		return 0, "", nil, err
	}
	defer resp.Body.Close()
	var b bytes.Buffer
	if _, err := b.ReadFrom(resp.Body); err != nil {
		return 0, "", nil, err
	}
	return resp.StatusCode, resp.Header.Get("Location"), b.Bytes(), nil
}

// configure sends a configuration until it is acknowledged.
func (d *deployment) configure(ctx context.Context, config []byte) error {
	var lastErr error
	for ctx.Err() == nil {
		status, answer, err := d.control(ctx, http.MethodPut, "/config", config)
		if err == nil && status == http.StatusOK {
			return nil
		}
		if err == nil {
			err = fmt.Errorf("status %d: %s", status, answer)
			if status < 500 {
				return err
			}
		}
		lastErr = err
		time.Sleep(200 * time.Millisecond)
	}
	return lastErr
}

// awaitReady waits until all entry hosts are ready.
func (d *deployment) awaitReady(ctx context.Context) error {
	for _, p := range d.of("entry") {
		for {
			status, _, _, err := d.exchange(ctx, http.MethodGet, "http://"+p.address(healthPort)+"/ready", nil)
			if err == nil && status == http.StatusOK {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("%s is not ready: %w", p.name, errors.Join(err, ctx.Err()))
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// record writes what happens to record.txt.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, started: time.Now()}, nil
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%7.2f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}
