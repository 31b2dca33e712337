package schedule

import "slices"

// runsModel reports whether m is the model of a call with an adapter, which may
// be empty.
func (m *ServerModel) runsModel(name, adapter string) bool {
	return m.Name == name && (adapter == "" || slices.Contains(m.Adapters, adapter))
}

// WeightsVersion returns the version of the weights with which the server runs a
// call that names none. It is empty for weights without a version. Known is
// false if the server has several versions, of which it may use any.
func (v *Server) WeightsVersion(model, adapter string) (version string, known bool) {
	found := false
	for i := range v.Models {
		m := &v.Models[i]
		if !m.runsModel(model, adapter) {
			continue
		}
		if found && m.Version != version {
			return "", false
		}
		version, found = m.Version, true
	}
	return version, true
}

// HasWeights reports whether the server can continue output of a version of the
// weights. It continues output of weights without a version only if its own have
// none, since a call cannot ask for them.
func (v *Server) HasWeights(model, adapter, version string) bool {
	if version == "" {
		own, known := v.WeightsVersion(model, adapter)
		return known && own == ""
	}
	return slices.ContainsFunc(v.Models, func(m ServerModel) bool {
		return m.runsModel(model, adapter) && m.Version == version
	})
}

// mayRunOn reports whether another run of the call may start on a server. A
// hedge continues the output of the first run, which only the same weights can.
func (c *call) mayRunOn(v *server) bool {
	if c.runOn(v) != nil {
		return false
	}
	if c.running == 0 || c.Model == "" || c.Version != "" || c.runs[0].produced() == 0 {
		return true
	}
	version, known := c.runs[0].server.WeightsVersion(c.Model, c.Adapter)
	return known && v.HasWeights(c.Model, c.Adapter, version)
}
