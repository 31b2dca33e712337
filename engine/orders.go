package engine

import "github.com/sycamoreline/sycamoreline/membership"

// Order changes what an engine serves. Exactly one of LoadModel, UnloadModel
// and Role is set.
type Order struct {
	Fencing     int64             `json:"fencing"`
	LoadModel   *membership.Model `json:"load-model,omitempty"` // including its adapters
	UnloadModel *ModelVersion     `json:"unload-model,omitempty"`
	Role        string            `json:"role,omitempty"`
}

// ModelVersion identifies a loaded model.
type ModelVersion struct {
	Name    string `json:"name"`
	Version string `json:"version,omitempty"`
}

// Serving is the response to an order: the models and the role of the engine
// after it.
type Serving struct {
	Incarnation string             `json:"incarnation"`
	Models      []membership.Model `json:"models"`
	Role        string             `json:"role,omitempty"`
}
