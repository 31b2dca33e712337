package backend

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/sycamoreline/sycamoreline/verdict"
)

const (
	transportDialTimeout = time.Second
	transportIdleTimeout = 90 * time.Second
	// maxIdlePerServer exceeds the slots of one server, so that the connections
	// of a server at full load are not closed whenever no request waits for one.
	maxIdlePerServer = 256
	maxErrorBytes    = 64 << 10
)

// Dial opens a connection to a backend server.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransport returns a transport that reuses connections. A nil dial means
// TCP.
func NewTransport(dial Dial) *http.Transport {
	if dial == nil {
		dial = (&net.Dialer{Timeout: transportDialTimeout}).DialContext
	}
	return &http.Transport{
		DialContext:            checkEnds(dial),
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerServer,
		IdleConnTimeout:        transportIdleTimeout,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// Do sends a request and returns the response, whatever its status. Errors are
// *verdict.Error; the verdict is not-run only if no byte of the request was
// written.
//
// Unless the request is a POST without an Idempotency-Key header, it must be
// safe to run twice: the transport may resend it after a broken connection.
func Do(transport http.RoundTripper, r *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	var conn atomic.Value // httptrace.GotConnInfo
	informational := 0
	trace := &httptrace.ClientTrace{
		// Unless the request is safe to run twice, the transport requests another
		// connection only if it wrote nothing to the previous one.
		GetConn: func(string) { connected.Store(false) },
		GotConn: func(i httptrace.GotConnInfo) { connected.Store(true); conn.Store(i) },
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			if informational++; informational >= maxUnmatchedResponses {
				return ErrUnmatchedResponses
			}
			return nil
		},
	}
	resp, err := transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	v, message := verdict.MayHaveRun, "connection lost before a response"
	if err == nil {
		if err = CheckStatus(resp); err == nil {
			return resp, nil
		}
		// The transport may have kept the connection. A request that has taken it
		// since is sent on another one, unless a part of it has been written.
		if i, ok := conn.Load().(httptrace.GotConnInfo); ok {
			i.Conn.Close()
		}
		resp.Body.Close()
		message = "invalid response"
	}
	if !connected.Load() {
		v, message = verdict.NotRun, "cannot connect"
	}
	return nil, Failure(r.Context(), v, r.URL.Host, message, err)
}

// Failure returns the error of a failed exchange with the server at address.
// The reason is timeout or cancelled if ctx has ended, and server-failed
// otherwise.
func Failure(ctx context.Context, v verdict.Verdict, address, message string, cause error) *verdict.Error {
	reason := verdict.ServerFailed
	switch err := ctx.Err(); {
	case errors.Is(err, context.DeadlineExceeded):
		reason = verdict.Timeout
	case err != nil:
		reason = verdict.Cancelled
	}
	return verdict.New(v, reason, "server "+address+": "+message, verdict.WithCause(cause))
}

// CheckResponse returns nil for a 200 response of the given media type, and a
// *verdict.Error for any other. The verdict is not-run only if the verdict
// header states it.
func CheckResponse(resp *http.Response, mediaType string) error {
	if resp.StatusCode != http.StatusOK {
		return ResponseError(resp)
	}
	return CheckMediaType(resp, mediaType)
}

// CheckMediaType returns a *verdict.Error with the verdict may-have-run if the
// response has another media type.
func CheckMediaType(resp *http.Response, mediaType string) error {
	got, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	if err != nil || got != mediaType {
		return verdict.Newf(verdict.MayHaveRun, verdict.ServerFailed, "server %s: content type %q: want %s",
			resp.Request.URL.Host, resp.Header.Get("Content-Type"), mediaType)
	}
	return nil
}

// ResponseError returns the error that an error response describes. Its verdict
// is may-have-run if the response has no valid verdict header.
func ResponseError(resp *http.Response) *verdict.Error {
	var v verdict.Verdict
	if v.UnmarshalText([]byte(resp.Header.Get(verdict.HeaderVerdict))) != nil {
		v = verdict.MayHaveRun
	}
	return responseError(resp, v)
}

// CallResponseError is like ResponseError, for a response to a call. It accepts
// the verdict not-run only if the response has the id of the call: without it,
// the response may be the rejection of another call.
func CallResponseError(resp *http.Response, id CallID) *verdict.Error {
	if resp.Header.Get(HeaderCall) != id.String() {
		return responseError(resp, verdict.MayHaveRun)
	}
	return ResponseError(resp)
}

func responseError(resp *http.Response, v verdict.Verdict) *verdict.Error {
	address := resp.Request.URL.Host
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err == nil {
		var e verdict.Error
		if json.Unmarshal(body, &e) == nil {
			return verdict.New(v, e.Reason(), fmt.Sprintf("server %s: %s", address, oneLine(e.Message())),
				verdict.WithRetryAfter(e.RetryAfter()))
		}
	}
	return verdict.Newf(v, verdict.ServerFailed, "server %s: status %d: %s", address, resp.StatusCode, oneLine(string(body)))
}

// oneLine shortens text from a server and joins its lines, so that it fits on a
// log line.
func oneLine(text string) string {
	const maxBytes = 200
	if len(text) > maxBytes {
		text = text[:maxBytes]
	}
	if !utf8.ValidString(text) {
		text = strings.ToValidUTF8(text, "\uFFFD")
	}
	return strings.Join(strings.Fields(text), " ")
}
