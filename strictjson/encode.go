package strictjson

import (
	"encoding/json"
	"fmt"
)

// Encode returns the JSON encoding of v and panics if that fails. It is for wire
// types, whose encoding cannot fail.
func Encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", v, err))
	}
	return data
}
