package caller

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/sycamoreline/sycamoreline/dispatch"
	"github.com/sycamoreline/sycamoreline/engine"
)

// answerID derives the id of an answer from program and key, so that a resend
// receives the same id.
func answerID(c dispatch.ModelCall) string {
	return derive("chatcmpl-", c.Program, c.Key)
}

func setCallHeader(w http.ResponseWriter, call int) {
	w.Header().Set(HeaderCall, strconv.Itoa(call))
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

func newUsage(u engine.Usage) usage {
	out := usage{
		PromptTokens:     u.PromptTokens,
		CompletionTokens: u.OutputTokens,
		TotalTokens:      u.PromptTokens + u.OutputTokens,
	}
	out.Details.CachedTokens = u.CachedTokens
	return out
}

type choice struct {
	Index        int           `json:"index"`
	Message      choiceMessage `json:"message"`
	FinishReason string        `json:"finish_reason"`
}

type choiceMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionBody struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   usage    `json:"usage"`
}

// completion returns an answer in the OpenAI chat.completion format.
func completion(id string, a dispatch.ModelAnswer) completionBody {
	return completionBody{
		ID:      id,
		Object:  "chat.completion",
		Created: a.Created,
		Model:   a.Model,
		Choices: []choice{{
			Message:      choiceMessage{Role: "assistant", Content: a.Text},
			FinishReason: a.FinishReason,
		}},
		Usage: newUsage(a.Usage),
	}
}

// chunkPrefix is the encoded prefix shared by all chunks of a stream. It makes
// up most of each chunk, so it is encoded only once per stream.
type chunkPrefix struct {
	id    string
	bytes []byte
}

func newChunkPrefix(id, model string, created int64) chunkPrefix {
	b := append([]byte(`data: {"id":"`), id...)
	b = append(b, `","object":"chat.completion.chunk","created":`...)
	b = strconv.AppendInt(b, created, 10)
	b = append(b, `,"model":`...)
	b = appendString(b, model)
	return chunkPrefix{id: id, bytes: b}
}

func (p chunkPrefix) appendText(b []byte, text string, first bool) []byte {
	b = append(b, p.bytes...)
	b = append(b, `,"choices":[{"index":0,"delta":{`...)
	if first {
		b = append(b, `"role":"assistant",`...)
	}
	b = append(b, `"content":`...)
	b = appendString(b, text)
	return append(b, "},\"finish_reason\":null}]}\n\n"...)
}

func (p chunkPrefix) appendFinish(b []byte, reason string) []byte {
	b = append(b, p.bytes...)
	b = append(b, `,"choices":[{"index":0,"delta":{},"finish_reason":`...)
	b = appendString(b, reason)
	return append(b, "}]}\n\n"...)
}

func (p chunkPrefix) appendUsage(b []byte, u engine.Usage) []byte {
	// Marshalling a struct of numbers cannot fail.
	data, _ := json.Marshal(newUsage(u))
	b = append(b, p.bytes...)
	b = append(b, `,"choices":[],"usage":`...)
	b = append(b, data...)
	return append(b, "}\n\n"...)
}

func appendString(b []byte, s string) []byte {
	// Marshalling a string cannot fail.
	data, _ := json.Marshal(s)
	return append(b, data...)
}
