package caller

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/sycamoreline/sycamoreline/dispatch"
	"github.com/sycamoreline/sycamoreline/engine"
	"github.com/sycamoreline/sycamoreline/verdict"
)

// maxEventBytes limits the size of one event. A resend receives a recorded
// answer, which can be long, as a single event.
const maxEventBytes = 16 << 20

// streamEvent is one event of a stream: a chunk or an error.
type streamEvent struct {
	Created int64  `json:"created"`
	Model   string `json:"model"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *usage          `json:"usage"`
	Error json.RawMessage `json:"error"`
}

// readAnswer reads a model answer, streamed or not.
func readAnswer(r *http.Response) (dispatch.ModelAnswer, error) {
	if strings.HasPrefix(r.Header.Get("Content-Type"), "text/event-stream") {
		return readStream(r)
	}
	var whole completionBody
	if err := json.NewDecoder(r.Body).Decode(&whole); err != nil {
		return dispatch.ModelAnswer{}, err
	}
	if len(whole.Choices) != 1 {
		return dispatch.ModelAnswer{}, io.ErrUnexpectedEOF
	}
	return dispatch.ModelAnswer{
		Call:         callNumber(r),
		Text:         whole.Choices[0].Message.Content,
		Model:        whole.Model,
		FinishReason: whole.Choices[0].FinishReason,
		Usage:        whole.Usage.engineUsage(),
		Created:      whole.Created,
	}, nil
}

// readStream returns io.ErrUnexpectedEOF if the stream ends before [DONE].
func readStream(r *http.Response) (dispatch.ModelAnswer, error) {
	answer := dispatch.ModelAnswer{Call: callNumber(r)}
	var text strings.Builder
	lines := bufio.NewScanner(r.Body)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			answer.Text = text.String()
			return answer, nil
		}
		if err := applyEvent(&answer, &text, data); err != nil {
			return answer, err
		}
	}
	if err := lines.Err(); err != nil {
		return answer, err
	}
	return answer, io.ErrUnexpectedEOF
}

func applyEvent(answer *dispatch.ModelAnswer, text *strings.Builder, data string) error {
	var e streamEvent
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		return err
	}
	if e.Error != nil {
		var failure verdict.Error
		if err := json.Unmarshal([]byte(data), &failure); err != nil {
			return err
		}
		return &failure
	}
	answer.Model, answer.Created = e.Model, e.Created
	if e.Usage != nil {
		answer.Usage = e.Usage.engineUsage()
	}
	for _, c := range e.Choices {
		text.WriteString(c.Delta.Content)
		if c.FinishReason != "" {
			answer.FinishReason = c.FinishReason
		}
	}
	return nil
}

func (u usage) engineUsage() engine.Usage {
	return engine.Usage{
		PromptTokens: u.PromptTokens,
		CachedTokens: u.Details.CachedTokens,
		OutputTokens: u.CompletionTokens,
	}
}
