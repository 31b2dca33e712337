package forward

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/cluster"
	"github.com/sycamoreline/sycamoreline/ledger"
	"github.com/sycamoreline/sycamoreline/pause"
	"github.com/sycamoreline/sycamoreline/route"
	"github.com/sycamoreline/sycamoreline/schedule"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// UnknownStream is the reason for refusing to resume a stream whose software
// version, or whose output before the last event, is not known.
const UnknownStream = ledger.UnknownStream

const (
	// streamRetention is how long the version of a stream is kept after the
	// deadline of the call that began it. Callers resume streams within their own
	// deadline.
	streamRetention = 30 * time.Second
	// registryWarmUp is the time after which a host that has just started knows the
	// servers, even if the control hosts have restarted too. Servers announce
	// themselves about every 1.2 s.
	registryWarmUp = 1500 * time.Millisecond
	// versionPollInterval is the interval at which a call waits for a server of its
	// software version on a host that has just started.
	versionPollInterval = 50 * time.Millisecond
)

// origin is the service and the software version of the server that begins a
// stream.
type origin struct{ service, version string }

// streamVersion tracks the origin of a stream. The events of two versions don't
// fit together, and servers don't check this. The ledger records the origin
// before or while the first event is passed on, so that any host can resume the
// stream; a stream without a record is not resumed.
//
// Servers that announce no version are interchangeable: an origin without a
// version neither is recorded nor restricts a stream.
type streamVersion struct {
	version string
	// fixed is set if the stream may go on only at version.
	fixed bool
	// service is the service at which the stream goes on, or "" if that is open.
	service string
	// recorded is the origin that is recorded or being recorded. Its version is ""
	// if there is none.
	recorded origin
	// uncertain is set if the ledger may hold another origin than recorded, since
	// the answer to a later record was lost.
	uncertain bool
	// recording is the record in progress, or nil.
	recording *recording
}

// recording is the recording of a stream's origin in the background.
type recording struct {
	done chan struct{}
	err  error // valid when done is closed
}

// resumes reports whether the call takes up a stream that an earlier call began.
func (c *Call) resumes() bool { return c.Resumes != "" || c.LastEvent != "" }

// recordsVersion reports whether the call begins a stream that may be resumed.
func (r *execution) recordsVersion() bool {
	return r.call.Route.Kind == route.Stream && r.call.Route.Resumable && !r.call.resumes()
}

// streamKey returns the key of a stream that the call begins or takes up.
func (r *execution) streamKey(stream string) cluster.StreamKey {
	k := cluster.StreamKey{Stream: r.call.ledgerID(stream)}
	if r.call.Turn != nil {
		k.Program = r.call.ledgerID(r.call.Program)
	}
	return k
}

func (r *execution) streamRetention() time.Duration {
	return time.Until(r.call.Deadline) + streamRetention
}

// versions returns the software versions of the servers of the route's services
// that are not leaving.
func (r *execution) versions() []string {
	var services []string
	for _, t := range r.call.Route.Targets {
		services = append(services, t.Service)
	}
	return r.view.softwareVersions(services...)
}

// expectedOrigin returns the origin of the stream that the call will begin, or an
// empty one if that is not known before a server is assigned.
func (r *execution) expectedOrigin() origin {
	targets := r.call.Route.Targets
	if versions := r.versions(); r.recordsVersion() && len(versions) == 1 && len(targets) == 1 {
		return origin{targets[0].Service, versions[0]}
	}
	return origin{}
}

// findVersion determines the service and the version at which the stream that the call takes up
// must go on.
func (r *execution) findVersion(ctx context.Context) error {
	if r.call.Resumes == "" {
		// The beginning can't be identified.
		return r.resumeAt(cluster.StreamVersion{})
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	v, err := r.turns.LookupStream(ctx, r.streamKey(r.call.Resumes))
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.ControlUnavailable, "the software version of the stream could not be read",
			verdict.WithCause(err), verdict.WithRetryAfter(recoveryRetryAfter()))
	}
	return r.resumeAt(v)
}

// resumeAt restricts the call to the service and the version that its stream
// began at. A stream without a record goes on only if no server announces a
// version.
func (r *execution) resumeAt(v cluster.StreamVersion) error {
	versions := r.versions()
	unversioned := len(versions) == 1 && versions[0] == ""
	r.logger.Info("stream resumed by its caller", zap.String("request", r.call.ID), zap.String("stream", r.call.Resumes),
		zap.String("last-event", r.call.LastEvent), zap.String("service", v.Service),
		zap.String("software-version", v.Version), zap.Bool("known", v.Known), zap.Strings("versions", versions))
	if !v.Known && !unversioned {
		r.metrics.resumed("unknown")
		return verdict.New(verdict.NotRun, UnknownStream, "the software version at which the stream began is not known")
	}
	if v.Service != "" && !slices.ContainsFunc(r.call.Route.Targets, func(t route.Target) bool { return t.Service == v.Service }) {
		r.metrics.resumed("no-server")
		return verdict.New(verdict.NotRun, verdict.NoServer, "the route no longer leads to service "+v.Service+", which began the stream")
	}
	r.metrics.resumed("known")
	r.stream.service, r.stream.version, r.stream.fixed = v.Service, v.Version, true
	return nil
}

// begin restricts the stream to the service and the version of the server whose
// answer is passed on.
func (s *streamVersion) begin(service, version string) {
	s.service, s.version, s.fixed = service, version, true
}

// fixedVersion returns the software version to which the call is restricted, or
// "" if there is none.
func (s *streamVersion) fixedVersion() string {
	if s.fixed {
		return s.version
	}
	return ""
}

// awaitVersion returns an error if no server of the software version to which
// the call is restricted can run it. On a host that has just started, it first
// waits until all servers are known.
func (r *execution) awaitVersion(ctx context.Context, request *schedule.Request) error {
	for request.SoftwareVersion != "" {
		var found bool
		r.queue.Do(func(_ time.Duration, s *schedule.Scheduler) {
			found = s.HasVersion(request.Model, request.Service, request.SoftwareVersion)
		})
		if found {
			return nil
		}
		if r.view.knownFor() >= registryWarmUp || !pause.For(ctx, versionPollInterval) {
			r.metrics.resumed("no-server")
			return verdict.New(verdict.NotRun, verdict.NoServer, "no backend server has software version "+request.SoftwareVersion+" of the stream")
		}
	}
	return nil
}

// recordOrigin records the origin of the stream that a server is about to begin.
// Events may be passed on before the record is committed: until then, the stream
// can't be resumed by its caller. An earlier record of another origin must be
// replaced first.
func (r *execution) recordOrigin(ctx context.Context, o origin) error {
	s := &r.stream
	if !r.recordsVersion() || s.fixed || !s.uncertain && (o == s.recorded || o.version == "" && s.recorded.version == "") {
		return nil
	}
	if s.recorded.version == "" {
		s.recorded = o
		s.recording = r.startRecording(o)
		return nil
	}
	if err := r.awaitRecording(ctx); err != nil {
		// The earlier record may still be committed.
		s.service, s.version, s.fixed = s.recorded.service, s.recorded.version, true
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	if err := r.turns.RecordStream(ctx, r.streamKey(r.call.ID), o.service, o.version, r.attempts, r.streamRetention()); err != nil {
		s.uncertain = s.uncertain || verdict.Of(err) != verdict.NotRun
		return verdict.New(verdict.NotRun, verdict.ControlUnavailable, "the software version of the stream could not be recorded",
			verdict.WithCause(err), verdict.WithRetryAfter(recoveryRetryAfter()))
	}
	s.recorded, s.uncertain = o, false
	return nil
}

// startRecording records the origin of the stream in the background.
func (r *execution) startRecording(o origin) *recording {
	w := &recording{done: make(chan struct{})}
	key, attempt, retention := r.streamKey(r.call.ID), r.attempts, r.streamRetention()
	r.background.Go(func() {
		defer close(w.done)
		ctx, cancel := context.WithTimeout(r.ctx, backgroundSettleTimeout)
		defer cancel()
		if w.err = r.turns.RecordStream(ctx, key, o.service, o.version, attempt, retention); w.err != nil {
			r.logger.Warn("software version of stream not recorded; its caller can't resume it", zap.String("request", r.call.ID), zap.Error(w.err))
		}
	})
	return w
}

// awaitRecording waits for the recording in progress, if any. It returns an error
// if its outcome is not known.
func (r *execution) awaitRecording(ctx context.Context) error {
	w := r.stream.recording
	if w == nil {
		return nil
	}
	select {
	case <-w.done:
	case <-ctx.Done():
		return verdict.New(verdict.NotRun, verdict.ControlUnavailable, "the software version of an earlier attempt is being recorded", verdict.WithCause(ctx.Err()))
	}
	if w.err != nil && verdict.Of(w.err) != verdict.NotRun {
		return verdict.New(verdict.NotRun, verdict.ControlUnavailable, "whether the software version of an earlier attempt was recorded is unknown", verdict.WithCause(w.err))
	}
	return nil
}
