package cluster

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/cborwire"
	"github.com/sycamoreline/sycamoreline/disk"
	"github.com/sycamoreline/sycamoreline/pause"
	"github.com/sycamoreline/sycamoreline/registry"
	"github.com/sycamoreline/sycamoreline/route"
)

const (
	// serversName is the name of the file with the backend servers, and tableName
	// that of the file with the routing table.
	serversName = "backend-servers"
	tableName   = "routing-table"
	// saveInterval is the minimum time between two writes of the files, and
	// maxSaveInterval the maximum.
	saveInterval    = 250 * time.Millisecond
	maxSaveInterval = 10 * time.Second
	// saveRate bounds the bytes written per second, since the log is on the same
	// disk.
	saveRate = 4 << 20
	// maxSavedAge is the age from which the saved servers are ignored: hosts have
	// been away for so long that the servers may be others.
	maxSavedAge = 30 * time.Second
)

// stateFiles keeps what a control host tells entry hosts: the backend servers and
// the routing table in force. It answers the loss of power of all hosts: without
// it, each server is unknown until its next announcement, the first ones that
// announce themselves get all the load, and entry hosts get no table until the log
// has a leader.
//
// The content is only a hint. A server that is not there any more refuses
// connections, one that has another's address rejects the request, and the log
// replaces the table if it has a newer one.
type stateFiles struct {
	fs     disk.FS
	folder string
}

// savedServers is the content of the file of the backend servers.
type savedServers struct {
	SavedAt int64            `json:"saved-at"` // Unix milliseconds
	Servers []registry.Entry `json:"servers"`
}

// save replaces a file by the checksum and the encoding of a value. It returns the
// number of bytes.
func (f stateFiles) save(name string, value any) (int, error) {
	data := cborwire.MustMarshal(value)
	data = append(binary.LittleEndian.AppendUint64(nil, xxhash.Sum64(data)), data...)
	return len(data), disk.ReplaceFile(f.fs, filepath.Join(f.folder, name), data)
}

// load decodes a file. It returns false without one.
func (f stateFiles) load(name string, value any) (bool, error) {
	data, err := disk.ReadFile(f.fs, filepath.Join(f.folder, name))
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if len(data) < 8 || binary.LittleEndian.Uint64(data) != xxhash.Sum64(data[8:]) {
		return false, fmt.Errorf("%s is damaged: checksum of %d bytes does not match", name, len(data))
	}
	if err := cborwire.Unmarshal(data[8:], value); err != nil {
		return false, fmt.Errorf("%s: %w", name, err)
	}
	return true, nil
}

func (f stateFiles) saveServers(now time.Time, servers []registry.Entry) (int, error) {
	return f.save(serversName, savedServers{SavedAt: now.UnixMilli(), Servers: servers})
}

// loadServers returns the saved servers, and none without a file. It fails if the
// file is damaged or too old.
func (f stateFiles) loadServers(now time.Time) ([]registry.Entry, error) {
	var saved savedServers
	ok, err := f.load(serversName, &saved)
	if !ok || err != nil {
		return nil, err
	}
	if age := now.Sub(time.UnixMilli(saved.SavedAt)); age.Abs() > maxSavedAge {
		return nil, fmt.Errorf("%s was saved %v ago: want at most %v", serversName, age, maxSavedAge)
	}
	return saved.Servers, nil
}

func (f stateFiles) saveTable(t *route.Table) (int, error) {
	return f.save(tableName, route.Diff(nil, t))
}

// loadTable returns the saved table, and nil without a file.
func (f stateFiles) loadTable() (*route.Table, error) {
	var whole route.Delta
	ok, err := f.load(tableName, &whole)
	if !ok || err != nil {
		return nil, err
	}
	t, err := route.Patch(nil, whole)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", tableName, err)
	}
	if err := t.Check(); err != nil {
		return nil, fmt.Errorf("%s: %w", tableName, err)
	}
	return t, nil
}

// restoreState reads the files.
func (h *Host) restoreState() {
	servers, err := h.files.loadServers(time.Now())
	if err != nil {
		h.logger.Warn("backend servers not restored", zap.Error(err))
	}
	h.registry.Restore(h.now(), servers)
	table, err := h.files.loadTable()
	if err != nil {
		h.logger.Warn("routing table not restored", zap.Error(err))
	}
	version := int64(0)
	if table != nil {
		version = table.Version
		h.state.updates.set(table)
	}
	h.logger.Info("state restored", zap.Int("servers", len(servers)), zap.Int64("table", version))
}

// requestSave requests that the files be written. It does not block.
func (h *Host) requestSave() {
	select {
	case h.saveRequested <- struct{}{}:
	default:
	}
}

// saveState writes the files after changes, and the servers from time to time.
func (h *Host) saveState(ctx context.Context) {
	defer h.wait.Done()
	var savedTable *route.Table
	failed := false
	timer := time.NewTimer(maxSaveInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.saveRequested:
		case <-timer.C:
		}
		timer.Reset(maxSaveInterval)
		h.mu.Lock()
		servers := h.registry.Usable()
		h.mu.Unlock()
		written, err := h.files.saveServers(time.Now(), servers)
		if t := h.state.updates.table(); err == nil && t != nil && t != savedTable {
			var n int
			n, err = h.files.saveTable(t)
			written += n
			if err == nil {
				savedTable = t
			}
		}
		if err != nil && !failed {
			h.logger.Warn("state not saved", zap.Error(err))
		}
		failed = err != nil
		if !pause.For(ctx, max(saveInterval, time.Duration(written)*time.Second/saveRate)) {
			return
		}
	}
}
