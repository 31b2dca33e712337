package main

import (
	"errors"
	"net/http"
	"runtime/debug"

	"go.uber.org/zap"

	"github.com/sycamoreline/sycamoreline/platform"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// answerWriter delays the head of an answer until its body or a flush, so that a
// handler that panics before can still be answered with an error.
type answerWriter struct {
	http.ResponseWriter
	status int // of the delayed head, 0 without one
	sent   bool
}

// WriteHeader implements http.ResponseWriter.
func (w *answerWriter) WriteHeader(status int) {
	switch {
	case w.sent || status < http.StatusOK:
		w.ResponseWriter.WriteHeader(status)
	case w.status == 0:
		w.status = status
	}
}

func (w *answerWriter) Write(p []byte) (int, error) {
	w.send()
	return w.ResponseWriter.Write(p)
}

// FlushError is called by http.ResponseController.
func (w *answerWriter) FlushError() error {
	w.send()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap is called by http.ResponseController.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *answerWriter) send() {
	if w.sent {
		return
	}
	w.sent = true
	if w.status != 0 {
		w.ResponseWriter.WriteHeader(w.status)
	}
}

// answerPanics calls a handler. If it panics before its answer is sent, the answer
// is an error that leaves open whether the request has run. Later, the panic
// closes the connection, so that the answer can't look complete.
func (s *server) answerPanics(h http.Handler, w http.ResponseWriter, r *http.Request) {
	a := &answerWriter{ResponseWriter: w}
	defer func() {
		if a.sent {
			return
		}
		fault := recover()
		if fault == nil {
			a.send()
			return
		}
		if err, ok := fault.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
			s.logger.Error("panic of a handler", zap.Any("panic", fault), zap.ByteString("stack", debug.Stack()))
		}
		clear(w.Header())
		w.Header().Set("Connection", "close")
		platform.Reject(w, r, verdict.New(verdict.MayHaveRun, verdict.Internal, "the request was aborted before its answer began"))
	}()
	h.ServeHTTP(a, r)
}
