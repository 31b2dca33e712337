package strictjson

import (
	"encoding/json"
	"fmt"
)

// Encode writes a wire type, whose encoding cannot fail. It panics if it does.
func Encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", v, err))
	}
	return data
}
