package main

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/sycamoreline/sycamoreline/platform"
)

// Guards against a request that gets neither an answer nor a refusal, because its
// handler panics before any byte of the answer is sent.
func TestPanicBeforeAnswerIsAnswered(t *testing.T) {
	for _, test := range []struct {
		name    string
		handler http.HandlerFunc
		errors  int // lines of log
	}{
		{"aborted", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 0},
		{"aborted after an unsent head", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			w.Header().Set("Content-Type", "text/event-stream")
			w.WriteHeader(http.StatusOK)
			panic(http.ErrAbortHandler)
		}, 0},
		{"fault", func(http.ResponseWriter, *http.Request) { panic("a fault") }, 1},
		{"fault with an error", func(http.ResponseWriter, *http.Request) {
			panic(errors.New("a fault"))
		}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := serveWatched(t, "127.0.0.1:0", test.handler)
			c := dialRaw(t, s.listener.Addr().String())
			c.send(getRequest)
			resp, err := http.ReadResponse(c.buffered, nil)
			assert.NilError(t, err)
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
			assert.Equal(t, resp.Header.Get(platform.HeaderRequestID), "r")
			assert.Equal(t, resp.Header.Get("Content-Type"), "application/json")
			assert.Equal(t, string(body), `{"error":"internal: the request was aborted before its answer began"}`+"\n")
			assert.NilError(t, s.stop(t.Context()))
			logged := s.logs.FilterLevelExact(zap.ErrorLevel).All()
			assert.Equal(t, len(logged), test.errors, "%v", logged)
			if test.errors > 0 {
				stack, _ := logged[0].ContextMap()["stack"].(string)
				assert.Assert(t, strings.Contains(stack, "answer_test.go"), "%v", logged[0].ContextMap())
			}
		})
	}
}

// Guards against an answer that has begun and then looks complete.
func TestPanicAfterBeginOfAnswerBreaksOff(t *testing.T) {
	for _, test := range []struct {
		name    string
		handler http.HandlerFunc
	}{
		{"head flushed", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusOK)
			assert.Check(t, http.NewResponseController(w).Flush())
			panic(http.ErrAbortHandler)
		}},
		{"body flushed", func(w http.ResponseWriter, _ *http.Request) {
			_, err := io.WriteString(w, "data: 1\n\n")
			assert.Check(t, err)
			assert.Check(t, http.NewResponseController(w).Flush())
			panic(http.ErrAbortHandler)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := serveWatched(t, "127.0.0.1:0", test.handler)
			c := dialRaw(t, s.listener.Addr().String())
			c.send(getRequest)
			resp, err := http.ReadResponse(c.buffered, nil)
			assert.NilError(t, err)
			defer resp.Body.Close()
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			_, err = io.ReadAll(resp.Body)
			assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
		})
	}
}

// Guards against answers that the delay of their head changes.
func TestDelayedHeadIsSent(t *testing.T) {
	for _, test := range []struct {
		name    string
		handler http.HandlerFunc
		status  int
		body    string
	}{
		{"nothing written", func(http.ResponseWriter, *http.Request) {}, http.StatusOK, ""},
		{"head only", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) }, http.StatusNotFound, ""},
		{"second head", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusNotFound)
			w.WriteHeader(http.StatusOK)
		}, http.StatusNotFound, ""},
		{"body only", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "b") }, http.StatusOK, "b"},
		{"head and body", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusTeapot)
			_, _ = io.WriteString(w, "b")
		}, http.StatusTeapot, "b"},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := serveWatched(t, "127.0.0.1:0", test.handler)
			c := dialRaw(t, s.listener.Addr().String())
			for range 2 { // on one connection
				c.send(getRequest)
				resp, err := http.ReadResponse(c.buffered, nil)
				assert.NilError(t, err)
				body, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, test.status)
				assert.Equal(t, string(body), test.body)
				assert.Equal(t, resp.ContentLength, int64(len(test.body)))
			}
		})
	}
}
