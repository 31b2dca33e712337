package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against output of one version of the weights that is continued with
// another.
func TestWeights(t *testing.T) {
	server := func(models ...ServerModel) *Server { return &Server{Models: models} }
	tests := []struct {
		name           string
		server         *Server
		version        string
		known          bool
		hasV1, hasNone bool
	}{
		{"no model", server(), "", true, false, true},
		{"another model", server(ServerModel{Name: "o", Version: "v1"}), "", true, false, true},
		{"one", server(ServerModel{Name: "m", Version: "v1"}), "v1", true, true, false},
		{"another version", server(ServerModel{Name: "m", Version: "v2"}), "v2", true, false, false},
		{"several", server(ServerModel{Name: "m", Version: "v1"}, ServerModel{Name: "m", Version: "v2"}), "", false, true, false},
		{"same twice", server(ServerModel{Name: "m", Version: "v1"}, ServerModel{Name: "m", Version: "v1"}), "v1", true, true, false},
		{"without a version", server(ServerModel{Name: "m"}), "", true, false, true},
		{"one without a version", server(ServerModel{Name: "m"}, ServerModel{Name: "m", Version: "v1"}), "", false, true, false},
	}
	for _, tt := range tests {
		version, known := tt.server.WeightsVersion("m", "")
		assert.Equal(t, version, tt.version, tt.name)
		assert.Equal(t, known, tt.known, tt.name)
		assert.Equal(t, tt.server.HasWeights("m", "", "v1"), tt.hasV1, tt.name)
		assert.Equal(t, tt.server.HasWeights("m", "", ""), tt.hasNone, tt.name)
	}
	adapted := server(ServerModel{Name: "m", Version: "v1", Adapters: []string{"a"}}, ServerModel{Name: "m", Version: "v2"})
	version, known := adapted.WeightsVersion("m", "a")
	assert.Assert(t, version == "v1" && known)
	assert.Assert(t, !adapted.HasWeights("m", "a", "v2"))
}

// Guards against a hedge that continues output with other weights, and against a
// call for which no server has the weights and which keeps others from a hedge.
func TestHedgesKeepTheWeights(t *testing.T) {
	server := func(id, version string) Server {
		return Server{ID: id, Slots: 4, Models: []ServerModel{{Name: "m", Version: version}}}
	}
	tests := []struct {
		name     string
		versions [2]string // of the servers of the two calls
		tokens   bool      // the calls have produced tokens
		want     int       // calls that are hedged on a server of v2
	}{
		{"first call at other weights", [2]string{"v1", "v2"}, true, 1},
		{"second call at other weights", [2]string{"v2", "v1"}, true, 1},
		{"weights without a version", [2]string{"", "v2"}, true, 1},
		{"all at the same weights", [2]string{"v2", "v2"}, true, 2},
		{"no tokens yet", [2]string{"v1", "v2"}, false, 2},
	}
	for _, tt := range tests {
		for _, router := range limitedRouters {
			s := New(rand.NewPCG(1, 1), router.option)
			versions := map[string]string{} // by program
			for n, version := range tt.versions {
				id := fmt.Sprint("slow", n)
				s.SetServer(0, server(id, version))
				r := request(fmt.Sprint("p", n), 0)
				r.Idempotent, r.Affinity, r.LastServer = true, 7, "other"
				s.Enqueue(0, r)
				a, ok := s.Next(0)
				assert.Assert(t, ok && a.Server == id, tt.name)
				versions[a.ID.Program] = version
				if tt.tokens {
					s.FirstToken(0, a.ID, a.Server)
				}
				s.setSlow(s.servers[id])
				if n == 0 {
					s.SetServer(0, server("other", "v2"))
					s.PauseServer(0, "other", time.Second)
				}
			}
			hedged := 0
			for a, ok := s.Next(time.Second); ok; a, ok = s.Next(time.Second) {
				assert.Assert(t, a.Hedge && a.Server == "other", tt.name)
				assert.Assert(t, !tt.tokens || versions[a.ID.Program] == "v2", "%s: hedge of a call of %q", tt.name, versions[a.ID.Program])
				hedged++
			}
			assert.Equal(t, hedged, tt.want, "%s, %s", tt.name, router.name)
		}
	}
}
