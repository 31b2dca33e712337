package engine

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamoreline/sycamoreline/ledger"
)

const (
	messageOverheadTokens = 4 // role and separators
	bytesPerToken         = 4
	minAnswerTokens       = 8
	answerTokensSpread    = 25
)

var answerWords = strings.Fields(`the coat chest neck back length width seam wool tweed lining strap
	buckle pattern size small medium large stylus needle cartridge turntable groove record arm mount
	tip round elliptical fits measures about twelve twenty forty centimetres and with for of to from`)

// standInAnswer generates the answer to a model call. The text depends only on
// the model and the messages, so that any stand-in can resume an answer.
type standInAnswer struct {
	seed   uint64
	length int
}

func newStandInAnswer(model string, messages []ledger.Message, length int) standInAnswer {
	d := xxhash.New()
	_, _ = d.WriteString(model)
	for _, m := range messages {
		_, _ = d.WriteString("\x00" + m.Role + "\x00" + m.Content)
	}
	seed := d.Sum64()
	if length == 0 {
		length = minAnswerTokens + int(seed%answerTokensSpread)
	}
	return standInAnswer{seed: seed, length: length}
}

// token returns the text of the token at an offset.
func (a standInAnswer) token(offset int) string {
	x := a.seed + uint64(offset)*0x9e3779b97f4a7c15 // increment of the splitmix64 generator
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x ^= x >> 27
	word := answerWords[x%uint64(len(answerWords))]
	if offset == 0 {
		return word
	}
	return " " + word
}

func (a standInAnswer) text(length int) string {
	var b strings.Builder
	for i := range length {
		b.WriteString(a.token(i))
	}
	return b.String()
}

// messageTokens returns the number of tokens in a message: a fixed overhead
// plus one token per bytesPerToken bytes, rounded up.
func messageTokens(m ledger.Message) int64 {
	return int64(messageOverheadTokens + (len(m.Content)+bytesPerToken-1)/bytesPerToken)
}
