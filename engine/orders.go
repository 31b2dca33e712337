package engine

import "github.com/sycamoreline/sycamoreline/membership"

// Order tells an engine what to serve. Exactly one of the fields after Fencing
// is set.
type Order struct {
	Fencing     int64             `json:"fencing"`
	LoadModel   *membership.Model `json:"load-model,omitempty"` // with its adapters
	UnloadModel *ModelVersion     `json:"unload-model,omitempty"`
	Role        string            `json:"role,omitempty"`
}

// ModelVersion names a loaded model.
type ModelVersion struct {
	Name    string `json:"name"`
	Version string `json:"version,omitempty"`
}

// Serving is what an engine serves after an order.
type Serving struct {
	Incarnation string             `json:"incarnation"`
	Models      []membership.Model `json:"models"`
	Role        string             `json:"role,omitempty"`
}
