package strictjson

import (
	"encoding/json"
	"fmt"
)

// Encode returns the JSON of a wire type. Its encoding must not be able to
// fail: Encode panics on an error.
func Encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", v, err))
	}
	return data
}
