package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"unicode/utf8"

	"github.com/sycamoreline/sycamoreline/verdict"
)

// Get sends a GET request and decodes the JSON response, of at most maxBytes.
// Errors are *verdict.Error.
func Get[Response any](ctx context.Context, transport http.RoundTripper, address, path string, maxBytes int64) (Response, error) {
	return exchange[Response](ctx, transport, http.MethodGet, address, path, nil, maxBytes)
}

// Post sends a JSON body and decodes the JSON response, of at most maxBytes.
// Errors are *verdict.Error.
func Post[Response any](ctx context.Context, transport http.RoundTripper, address, path string, body any, maxBytes int64) (Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		var zero Response
		return zero, verdict.New(verdict.NotRun, verdict.BadRequest, "cannot create request", verdict.WithCause(err))
	}
	return exchange[Response](ctx, transport, http.MethodPost, address, path, data, maxBytes)
}

func exchange[Response any](ctx context.Context, transport http.RoundTripper, method, address, path string, body []byte, maxBytes int64) (Response, error) {
	var response Response
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return response, verdict.New(verdict.NotRun, verdict.BadRequest, "cannot create request", verdict.WithCause(err))
	}
	if method == http.MethodPost {
		r.Header.Set("Content-Type", "application/json")
	}
	resp, err := Do(transport, r)
	if err != nil {
		return response, err
	}
	defer resp.Body.Close()
	if err := CheckResponse(resp, "application/json"); err != nil {
		return response, err
	}
	data, err := ReadJSON(resp, maxBytes)
	if err != nil {
		return response, err
	}
	if err := json.Unmarshal(data, &response); err != nil {
		return response, verdict.New(verdict.MayHaveRun, verdict.ServerFailed, "server "+address+": response has an unexpected structure", verdict.WithCause(err))
	}
	return response, nil
}

// ReadJSON reads the body of a response and checks that it is complete, of at
// most maxBytes, UTF-8 and valid JSON. Errors are *verdict.Error with the
// verdict may-have-run.
func ReadJSON(resp *http.Response, maxBytes int64) ([]byte, error) {
	address := resp.Request.URL.Host
	body, err := io.ReadAll(http.MaxBytesReader(nil, resp.Body, maxBytes))
	var tooLarge *http.MaxBytesError
	var fault string
	switch {
	case errors.As(err, &tooLarge):
		return nil, verdict.Newf(verdict.MayHaveRun, verdict.ServerFailed, "server %s: response is longer than %d bytes", address, maxBytes)
	case err != nil:
		return nil, Failure(resp.Request.Context(), verdict.MayHaveRun, address, "cannot read response", err)
	case !utf8.Valid(body):
		fault = "response is not UTF-8"
	case !json.Valid(body):
		fault = "response is not valid JSON"
	default:
		return body, nil
	}
	return nil, verdict.New(verdict.MayHaveRun, verdict.ServerFailed, "server "+address+": "+fault)
}
