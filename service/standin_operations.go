package service

import (
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamoreline/sycamoreline/membership"
)

// operationResult generates the result of an operation. The result of an
// idempotent operation depends only on the body; other results contain a serial
// number.
func operationResult(o membership.Operation, body []byte, serial int) []byte {
	seed := xxhash.Sum64(body)
	var v any
	switch o.Name {
	case "measure":
		chest := 30 + seed%60
		v = map[string]uint64{"chest-cm": chest, "neck-cm": chest * 2 / 3, "back-cm": chest * 9 / 10}
	case "scale-pattern":
		v = map[string]any{"size": []string{"S", "M", "L", "XL"}[seed%4], "scale-percent": 80 + seed%60}
	case "find-stylus":
		v = map[string]any{"stylus": "TS-" + strconv.FormatUint(100+seed%900, 10), "in-stock": seed%5 != 0}
	default:
		v = map[string]any{"operation": o.Name, "number": serial, "done": true}
	}
	out, err := json.Marshal(v)
	if err != nil {
		panic(err) // maps of strings and numbers can always be encoded
	}
	return append(out, '\n')
}
