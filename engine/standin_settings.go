package engine

import (
	"fmt"
	"time"

	"github.com/sycamoreline/sycamoreline/membership"
	"github.com/sycamoreline/sycamoreline/standin"
)

// StandInSettings are the settings of a stand-in engine.
type StandInSettings struct {
	standin.Settings
	Models []membership.Model `json:"models"`
	// Slots is the number of calls that run concurrently; further calls are
	// queued.
	Slots int `json:"slots"`
	// PrefillMicroseconds is the processing time of a prompt token that is not
	// cached, and of each answer token received in earlier attempts.
	PrefillMicroseconds int64 `json:"prefill-microseconds"`
	// DecodeMicroseconds is the processing time of a token of the answer.
	DecodeMicroseconds int64 `json:"decode-microseconds"`
	// AnswerTokens is the length of answers; with 0, it is derived from the
	// model and the messages.
	AnswerTokens int `json:"answer-tokens,omitempty"`
	// CacheTokens is the capacity of the prefix cache.
	CacheTokens int64 `json:"cache-tokens"`
	// Fencing enables the check of fencing numbers: an order is rejected if its
	// number is below the highest one of the executed orders.
	Fencing bool `json:"fencing"`
	// EventDelayMilliseconds is the delay before a cache event is published.
	EventDelayMilliseconds int64 `json:"event-delay-milliseconds,omitempty"`
	// EventLossPerThousand is the average number of cache events lost per
	// 1,000.
	EventLossPerThousand int `json:"event-loss-per-thousand,omitempty"`
	// LoadLagMilliseconds is the age of the load that is reported.
	LoadLagMilliseconds int64 `json:"load-lag-milliseconds,omitempty"`
}

// Check returns an error with the name of the first invalid field, its value
// and the allowed values.
func (s StandInSettings) Check() error {
	if err := s.Settings.Check(); err != nil {
		return err
	}
	if len(s.Models) == 0 {
		return fmt.Errorf("field \"models\": empty: want at least one model")
	}
	for i, m := range s.Models {
		if m.Name == "" {
			return fmt.Errorf("field \"models[%d].name\": empty: want a model name", i)
		}
	}
	return standin.CheckRanges([]standin.Range{
		{Field: "slots", Value: int64(s.Slots), Min: 1, Max: 100_000},
		{Field: "prefill-microseconds", Value: s.PrefillMicroseconds, Min: 0, Max: 1_000_000},
		{Field: "decode-microseconds", Value: s.DecodeMicroseconds, Min: 0, Max: 60_000_000},
		{Field: "answer-tokens", Value: int64(s.AnswerTokens), Min: 0, Max: 1_000_000},
		{Field: "cache-tokens", Value: s.CacheTokens, Min: 0, Max: 1 << 40},
		{Field: "event-delay-milliseconds", Value: s.EventDelayMilliseconds, Min: 0, Max: 3_600_000},
		{Field: "event-loss-per-thousand", Value: int64(s.EventLossPerThousand), Min: 0, Max: 1000},
		{Field: "load-lag-milliseconds", Value: s.LoadLagMilliseconds, Min: 0, Max: 3_600_000},
	})
}

func (s StandInSettings) prefillTimePerToken() time.Duration {
	return time.Duration(s.PrefillMicroseconds) * time.Microsecond
}

func (s StandInSettings) decodeTimePerToken() time.Duration {
	return time.Duration(s.DecodeMicroseconds) * time.Microsecond
}
